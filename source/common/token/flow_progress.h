/**
 * @file Notices callers' packets that their host does not acknowledge, without state for each flow.
 *
 * Only packets from callers pass a node, so that it can't see what a host answers. It sees a caller
 * send the same data again, and a caller acknowledge something new.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** What a packet tells of its flow's host. */
struct PacketProgress {
  /** How often this data has passed by, this packet included; 0 for a packet without data. */
  uint32_t copies = 0;
  /** When the data passed for the first time. */
  TimePoint firstAt{};
  /** The caller acknowledged something that it had not acknowledged before. */
  bool answered = false;
  /** When the data that was answered passed for the first time; nothing where none was known. */
  std::optional<TimePoint> answeredSentAt;
};

/**
 * Remembers the oldest data under way of the flows seen last; a flow that is pushed out begins
 * again with its next packet. Not thread safe.
 */
class FlowProgress {
 public:
  /** @param packet a later packet of a flow, in a format that tells sequence numbers. */
  PacketProgress record(TimePoint now, const FlowPacket& packet);
  /**
   * Every packet that had arrived was handled. A copy counts only if this happened after the one
   * before it: a node that is behind sees copies of data that its host would have acknowledged.
   */
  void onCaughtUp() { ++drainCount_; }

 private:
  struct Entry {
    FlowHash flow;
    uint32_t token = 0;
    uint32_t sequence = 0;
    uint32_t acknowledged = 0;
    uint32_t copies = 0;
    TimePoint firstAt{};
    TimePoint lastAt{};
    /** drainCount_ when the last copy passed. */
    uint64_t drainCount = 0;
  };

  PacketProgress begin(TimePoint now, const FlowPacket& packet, Entry& entry) const;

  static constexpr size_t kEntries = 1024;
  std::array<Entry, kEntries> entries_{};
  uint64_t drainCount_ = 0;
};

}  // namespace umberhold
