/**
 * @file Tracks openings of flows that their callers do not continue.
 *
 * Only packets from callers pass through a node. If the opening packet is answered, the caller
 * continues within a round trip. If the caller retransmits the opening packet, the host is silent.
 * If nothing follows, the host refused the flow with a reset sent directly to the caller, which the
 * node does not see. Both cases are detected here, once for each opening.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"

namespace umberhold {

/** An earlier copy of an opening packet and the host that received it. */
struct EarlierOpening {
  /** Token of the host; 0 for none. */
  uint32_t token = 0;
  /** The copy has already been counted as unanswered. */
  bool counted = false;
};

/**
 * Tracks the openings of the most recently seen flows, each until the next packet of its flow. Not
 * thread safe.
 */
class OpeningWatch {
 public:
  /** Records that an opening was placed on the host with this token. */
  void onPlaced(TimePoint now, FlowHash flow, uint32_t token);
  /** @return the earlier copy that was left unanswered; token 0 if there is none. */
  EarlierOpening earlierOf(TimePoint now, FlowHash flow) const;
  /**
   * @return the time since the opening of the flow was placed on the host with this token; nothing
   * if a later packet has already followed.
   */
  std::optional<Duration> sinceOpening(TimePoint now, FlowHash flow, uint32_t token) const;
  /**
   * Records a packet of an established flow.
   * @return whether it is the first one after the opening.
   */
  bool onFollowed(FlowHash flow, uint32_t token);
  /**
   * Discards the openings of a host that has restarted; they are no evidence about its new
   * generation.
   */
  void discardHost(uint32_t token);
  /**
   * Called when all packets that had arrived are handled.
   * @return tokens of hosts with an opening that its caller did not continue; each opening is
   * reported once.
   */
  std::vector<uint32_t> onCaughtUp(TimePoint now);

 private:
  struct Entry {
    FlowHash flow;
    uint32_t token = 0;
    TimePoint at{};
    bool counted = false;
  };
  /** Entry of the queue of openings to check once the follow timeout has expired. */
  struct Due {
    TimePoint at{};
    FlowHash flow;
  };

  Entry& entryOf(FlowHash flow) { return entries_[flow.value % entries_.size()]; }
  const Entry& entryOf(FlowHash flow) const { return entries_[flow.value % entries_.size()]; }

  static constexpr size_t kEntries = 1024;
  std::array<Entry, kEntries> entries_{};
  std::deque<Due> due_;
};

}  // namespace umberhold
