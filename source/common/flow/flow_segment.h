/** @file One open-addressing array of flow slots; a FlowTable consists of many segments. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/base/strong_id.h"
#include "common/flow/flow_table.h"

namespace umberhold {

/** An entry of 16 bytes for one flow. */
struct FlowSlot {
  uint64_t flow = 0;
  /** Time of the last packet in seconds, modulo 2^27 (4.2 years). */
  uint32_t lastSeen : 27 = 0;
  uint32_t state : 3 = 0;
  uint32_t exception : 1 = 0;
  uint32_t occupied : 1 = 0;
  uint16_t hostSlot = 0;
  SourceBucket source = 0;

  FlowState flowState() const { return static_cast<FlowState>(state); }
};
static_assert(sizeof(FlowSlot) == 16);

/**
 * Linear probing with backward-shift deletion. Grows by a quarter at a time; shrinks to about 1.5
 * slots per flow when less than 40% of the slots are used. Not thread safe.
 */
class FlowSegment {
 public:
  static constexpr size_t kNotFound = SIZE_MAX;

  /** @return index of the flow's slot, or kNotFound. @param position see positionOf(). */
  size_t find(uint64_t position, FlowHash flow) const;
  /** Adds a flow that isn't in the segment; if the segment has to grow, all slots are moved. */
  FlowSlot& add(uint64_t position, const FlowSlot& slot, uint64_t seed);
  /** Frees a slot. Later slots are shifted back, so the same index may hold another flow
   * afterwards. */
  void eraseAt(size_t index, uint64_t seed);
  /** Releases memory if less than 40% of the slots are used. */
  void shrink(uint64_t seed);

  size_t slotCount() const { return slots_.size(); }
  size_t used() const { return used_; }
  FlowSlot& at(size_t index) { return slots_[index]; }
  const FlowSlot& at(size_t index) const { return slots_[index]; }

  /** @return the position of a flow: the upper bits select the segment, the others the slot. */
  static uint64_t positionOf(FlowHash flow, uint64_t seed);
  /** log2 of the number of segments of a shard. */
  static constexpr unsigned kSegmentBits = 6;

 private:
  size_t homeOf(uint64_t position) const;
  size_t next(size_t index) const { return index + 1 == slots_.size() ? 0 : index + 1; }
  void place(uint64_t position, const FlowSlot& slot, FlowSlot** placed);
  void resize(size_t slotCount, uint64_t seed);

  std::vector<FlowSlot> slots_;
  size_t used_ = 0;
};

}  // namespace umberhold
