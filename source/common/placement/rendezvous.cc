#include "common/placement/rendezvous.h"

#include <array>
#include <bit>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr unsigned kTableBits = 10;
constexpr size_t kTableSize = size_t{1} << kTableBits;
constexpr unsigned kFractionBits = 32;
/** Bits of the position within a table step that are used for interpolation. */
constexpr unsigned kStepBits = 24;
/** Fractional bits of the reciprocal of a weight. */
constexpr unsigned kReciprocalBits = 24;

/** @return log2 of mantissa / 2^31 with 32 fractional bits, computed bit by bit by repeated
 * squaring.
 */
constexpr uint64_t fractionOfLog2(uint64_t mantissa) {
  constexpr unsigned kOne = 31;
  uint64_t result = 0;
  for (unsigned bit = 0; bit < kFractionBits; ++bit) {
    mantissa = (mantissa * mantissa) >> kOne;
    result <<= 1U;
    if (mantissa >= (uint64_t{2} << kOne)) {
      mantissa >>= 1U;
      result |= 1U;
    }
  }
  return result;
}

/** table[i] = log2(1 + i / 1024) with 32 fractional bits. */
constexpr auto kLog2Table = [] {
  std::array<uint64_t, kTableSize + 1> table{};
  for (size_t i = 0; i < kTableSize; ++i) {
    table[i] = fractionOfLog2((uint64_t{1} << 31U) + (uint64_t{i} << (31U - kTableBits)));
  }
  table[kTableSize] = uint64_t{1} << kFractionBits;
  return table;
}();

constexpr auto kReciprocal = [] {
  std::array<uint64_t, 256> reciprocal{};
  for (size_t weight = 1; weight < reciprocal.size(); ++weight) {
    reciprocal[weight] = (uint64_t{1} << kReciprocalBits) / weight;
  }
  return reciprocal;
}();

}  // namespace

uint64_t negativeLog2(uint64_t hash) {
  const uint64_t value = hash | 1U;
  const auto leadingZeros = static_cast<unsigned>(std::countl_zero(value));
  const uint64_t fraction = value << leadingZeros << 1U;
  const size_t index = fraction >> (64U - kTableBits);
  const uint64_t step = (fraction << kTableBits) >> (64U - kStepBits);
  const uint64_t low = kLog2Table[index];
  const uint64_t log2 = low + (((kLog2Table[index + 1] - low) * step) >> kStepBits);
  return (uint64_t{leadingZeros + 1U} << kFractionBits) - log2;
}

RendezvousKey rendezvousKey(HostId host, uint8_t weight, FlowHash flow) {
  return {negativeLog2(mixHash(host.value, flow.value)) * kReciprocal[weight], host};
}

size_t bestHost(std::span<const BaseHost> hosts, FlowHash flow) {
  return RendezvousWalk(hosts, flow).next();
}

size_t RendezvousWalk::next() {
  size_t best = hosts_.size();
  RendezvousKey bestKey;
  for (size_t index = 0; index < hosts_.size(); ++index) {
    if (hosts_[index].weight == 0) {
      continue;
    }
    const RendezvousKey key = rendezvousKey(hosts_[index].host, hosts_[index].weight, flow_);
    const bool alreadyVisited = started_ && !(last_ < key);
    if (!alreadyVisited && (best == hosts_.size() || key < bestKey)) {
      best = index;
      bestKey = key;
    }
  }
  last_ = bestKey;
  started_ = true;
  return best;
}

}  // namespace umberhold
