/** @file Tests that concurrent runs never use the same loopback addresses. */
#include "bench/support/address_block.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

using umberhold::experiment::AddressBlock;

namespace {

constexpr uint32_t kPreferred = 77;
constexpr uint32_t kBlockCount = 200;

}  // namespace

TEST_GROUP_BASE(AddressBlock, umberhold::test::WithoutLeakDetection){};

TEST(AddressBlock, ClaimSkipsClaimedBlocks) {
  const auto first = AddressBlock::claim(kPreferred);
  const auto second = AddressBlock::claim(kPreferred);
  CHECK_TRUE(first.has_value() && second.has_value());
  CHECK_TRUE(first->number() != second->number());
}

TEST(AddressBlock, PreferredNumbersEqualModuloBlockCountGetDifferentBlocks) {
  const auto first = AddressBlock::claim(kPreferred);
  const auto second = AddressBlock::claim(kPreferred + kBlockCount);
  CHECK_TRUE(first.has_value() && second.has_value());
  CHECK_TRUE(first->number() != second->number());
}

TEST(AddressBlock, DestructorReleasesClaim) {
  uint8_t number = 0;
  {
    const auto first = AddressBlock::claim(kPreferred);
    number = first->number();
  }
  const auto second = AddressBlock::claim(number - 20);
  LONGS_EQUAL(number, second->number());
}
