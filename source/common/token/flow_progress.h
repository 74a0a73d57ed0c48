/**
 * @file Detects packets of callers that the host does not acknowledge, without state for every
 * flow.
 *
 * Only packets from callers pass through a node, so it does not see the answers of hosts. It does
 * see callers retransmit data and acknowledge new data.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** What a packet shows about the host of its flow. */
struct PacketProgress {
  /** How often this data has passed, including this packet; 0 for a packet without data. */
  uint32_t copies = 0;
  /** When the data passed for the first time. */
  TimePoint firstAt{};
  /** When the previous copy of the data passed; equals firstAt if there was none. */
  TimePoint previousAt{};
  /** The caller acknowledged new data. */
  bool answered = false;
  /** When the data that was answered passed for the first time; unset if unknown. */
  std::optional<TimePoint> answeredSentAt;
  /** How often the data that was answered had passed; 0 if unknown. */
  uint32_t answeredCopies = 0;
};

/**
 * Tracks the oldest unacknowledged data of the most recently seen flows. The state of a flow that
 * is evicted starts again with its next packet. Not thread safe.
 */
class FlowProgress {
 public:
  /** @param packet a packet of an established flow, in a format with sequence numbers. */
  PacketProgress record(TimePoint now, const FlowPacket& packet);
  /**
   * Called when all packets that had arrived are handled. A retransmission counts only if this
   * happened after the previous copy: a node with a backlog sees retransmissions of data that the
   * host would have acknowledged in time.
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
    /** Value of drainCount_ when the last copy passed. */
    uint64_t drainCount = 0;
  };

  PacketProgress begin(TimePoint now, const FlowPacket& packet, Entry& entry) const;

  static constexpr size_t kEntries = 1024;
  std::array<Entry, kEntries> entries_{};
  /** Number of onCaughtUp() calls. */
  uint64_t drainCount_ = 0;
};

}  // namespace umberhold
