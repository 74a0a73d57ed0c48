/** @file Internals of FlowTable, shared by its source files. */
#pragma once

#include <array>
#include <chrono>
#include <vector>

#include "common/flow/flow_segment.h"
#include "common/flow/flow_table.h"

namespace umberhold {

inline constexpr size_t kSegmentsOfShard = size_t{1} << FlowSegment::kSegmentBits;
/** Range of FlowSlot::lastSeen. */
inline constexpr uint32_t kSecondsMask = (1U << 27U) - 1U;

/** @return the time in the resolution of FlowSlot::lastSeen. */
inline uint32_t secondsOf(TimePoint now) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return static_cast<uint32_t>(seconds.count()) & kSecondsMask;
}

/** @return seconds since the slot's last packet; 0 if that lies in the future. */
inline uint32_t idleSecondsOf(const FlowSlot& slot, uint32_t nowSeconds) {
  const uint32_t idle = (nowSeconds - slot.lastSeen) & kSecondsMask;
  return idle > kSecondsMask / 2 ? 0 : idle;
}

/** @return the slot in the form returned to callers of the table. */
inline FlowEntry entryOf(const FlowSlot& slot, uint32_t nowSeconds) {
  return FlowEntry{FlowHash{slot.flow}, slot.hostSlot, slot.flowState(), slot.exception != 0,
                   idleSecondsOf(slot, nowSeconds)};
}

/** The flows of one shard. */
struct FlowTable::Shard {
  uint32_t idleTimeoutSeconds = 0;
  uint32_t flows = 0;
  std::array<FlowSegment, kSegmentsOfShard> segments;
  std::vector<HostFlowCounts> hosts;
};

}  // namespace umberhold
