/** @file Tests of the key changes that a running node accepts and rejects. */
#include "common/wire/key_rotation.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

AuthenticationKey makeKey(uint32_t id, char fill = 'k') {
  return {id, std::string(kMinSecretBytes, fill)};
}

}  // namespace

TEST_GROUP(KeyRotation) {
  const KeySettings old{{makeKey(1)}, 1};
  const KeySettings added{{makeKey(1), makeKey(2)}, 1};
  const KeySettings signing{{makeKey(1), makeKey(2)}, 2};
  const KeySettings removed{{makeKey(2)}, 2};

  void expect(KeyRotationError error, const KeySettings& current, const KeySettings& next) {
    const auto step = checkRotation(current, next);
    CHECK_FALSE(isOk(step));
    CHECK_EQUAL(toString(error).data(), toString(errorOf(step)).data());
  }
};

TEST(KeyRotation, AcceptsStepsInOrderAndTheirReversal) {
  const KeySettings steps[] = {old, added, signing, removed};
  for (size_t step = 1; step < std::size(steps); ++step) {
    CHECK_TRUE(isOk(checkRotation(steps[step - 1], steps[step])));
    CHECK_TRUE(isOk(checkRotation(steps[step], steps[step])));
  }
  CHECK_TRUE(isOk(checkRotation(signing, added)));
  CHECK_TRUE(isOk(checkRotation(added, old)));
}

TEST(KeyRotation, RejectsSkippedSteps) {
  expect(KeyRotationError::kSigningKeyNotAdded, old, signing);
  expect(KeyRotationError::kSigningKeyNotAdded, old, removed);
  expect(KeyRotationError::kSigningKeyRemoved, added, removed);
}

TEST(KeyRotation, RejectsChangedSecretOfIdInUse) {
  expect(KeyRotationError::kSecretChanged, old, {{makeKey(1, 'x')}, 1});
}

}  // namespace umberhold
