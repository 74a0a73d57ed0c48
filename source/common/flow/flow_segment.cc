#include "common/flow/flow_segment.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr size_t kMinSlots = 4;
/** Used slots, in percent, above which a segment grows and below which it shrinks. */
constexpr size_t kMaxFillPercent = 80;
constexpr size_t kMinFillPercent = 40;

bool isTooFull(size_t used, size_t slots) {
  return used * 100 > slots * kMaxFillPercent;
}

size_t grownSize(size_t slots) {
  return std::max(kMinSlots, slots + slots / 4 + 1);
}

}  // namespace

uint64_t FlowSegment::positionOf(FlowHash flow, uint64_t seed) {
  return mixHash(seed, flow.value);
}

size_t FlowSegment::homeOf(uint64_t position) const {
  // Multiply-shift range reduction (Lemire: "Fast random integer generation in an interval").
  const auto fraction = static_cast<uint32_t>((position << kSegmentBits) >> 32U);
  return static_cast<size_t>((uint64_t{fraction} * slots_.size()) >> 32U);
}

size_t FlowSegment::find(uint64_t position, FlowHash flow) const {
  if (slots_.empty()) {
    return kNotFound;
  }
  for (size_t index = homeOf(position); slots_[index].occupied != 0; index = next(index)) {
    if (slots_[index].flow == flow.value) {
      return index;
    }
  }
  return kNotFound;
}

FlowSlot& FlowSegment::add(uint64_t position, const FlowSlot& slot, uint64_t seed) {
  if (slots_.empty() || isTooFull(used_ + 1, slots_.size())) {
    resize(grownSize(slots_.size()), seed);
  }
  FlowSlot* placed = nullptr;
  place(position, slot, &placed);
  ++used_;
  return *placed;
}

void FlowSegment::place(uint64_t position, const FlowSlot& slot, FlowSlot** placed) {
  size_t index = homeOf(position);
  while (slots_[index].occupied != 0) {
    index = next(index);
  }
  slots_[index] = slot;
  slots_[index].occupied = 1;
  *placed = &slots_[index];
}

void FlowSegment::eraseAt(size_t index, uint64_t seed) {
  size_t hole = index;
  for (size_t probe = next(hole); slots_[probe].occupied != 0; probe = next(probe)) {
    const size_t home = homeOf(positionOf(FlowHash{slots_[probe].flow}, seed));
    const size_t size = slots_.size();
    const size_t distanceFromHome = (probe + size - home) % size;
    const size_t distanceFromHole = (probe + size - hole) % size;
    if (distanceFromHome >= distanceFromHole) {
      slots_[hole] = slots_[probe];
      hole = probe;
    }
  }
  slots_[hole] = FlowSlot{};
  --used_;
}

void FlowSegment::shrink(uint64_t seed) {
  if (used_ == 0) {
    slots_ = {};
    return;
  }
  if (slots_.size() <= kMinSlots || used_ * 100 >= slots_.size() * kMinFillPercent) {
    return;
  }
  resize(std::max(kMinSlots, used_ * 100 / kMaxFillPercent + used_ / 4 + 1), seed);
}

void FlowSegment::resize(size_t slotCount, uint64_t seed) {
  const std::vector<FlowSlot> old = std::exchange(slots_, std::vector<FlowSlot>(slotCount));
  FlowSlot* placed = nullptr;
  for (const FlowSlot& slot : old) {
    if (slot.occupied != 0) {
      place(positionOf(FlowHash{slot.flow}, seed), slot, &placed);
    }
  }
}

}  // namespace umberhold
