/**
 * @file Times requests by the packets of their callers alone.
 *
 * A caller's data begins a request; the first later packet that acknowledges more than the data did
 * ends it, since only an answer can be acknowledged. This is the in-band measure of Shobhana et
 * al., "Load Balancers Need In-Band Feedback Control" (HotNets 2022), for balancers that never see
 * answers. Bounded state, no I/O.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** A request that has waited longer than it was given. */
struct OverdueRequest {
  ServiceId service;
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Time since its first packet passed. */
  Duration waited{};
};

/**
 * Remembers the request under way of the flows seen last; a flow that another one pushes out is not
 * timed. 56 KB, whatever the number of flows. Not thread safe.
 */
class RequestTimer {
 public:
  /**
   * @param packet a later packet of a flow, in a format that tells sequence numbers.
   * @param patience how long a request that begins now may wait before it is overdue; none: it
   * never is.
   * @return the time from the request's first packet to the answer, where this packet shows it. Not
   * measured: requests whose data was sent again (a packet was lost, or its host is silent), whose
   * answer is acknowledged only together with the next request (the caller paused in between),
   * those of which a part or a later request passed another node, and those that were handled in
   * one go with their answer (this node is behind).
   */
  std::optional<Duration> record(TimePoint now, const FlowPacket& packet,
                               std::optional<Duration> overdueAfter);
  /** The host has started again: its requests under way are lost, and their times tell nothing. */
  void forgetHost(uint32_t token);
  /** Every packet that had arrived was handled. @return requests that became overdue; each once. */
  std::vector<OverdueRequest> onCaughtUp(TimePoint now);

 private:
  struct Entry {
    FlowHash flow;
    ServiceId service;
    uint32_t token = 0;
    uint32_t sequence = 0;
    /** Sequence number after the request's data, as far as it passed here. */
    uint32_t endSequence = 0;
    uint32_t acknowledged = 0;
    bool requestInFlight = false;
    bool retransmitted = false;
    TimePoint beganAt{};
    /** drainCount_ when it began. */
    uint64_t drainCount = 0;
  };
  /** Where to look once the patience of a request has ended. */
  struct Due {
    TimePoint at{};
    TimePoint beganAt{};
    size_t index = 0;

    bool operator>(const Due& other) const { return at > other.at; }
  };
  static constexpr size_t kEntries = 1024;

  void begin(TimePoint now, const FlowPacket& packet, std::optional<Duration> overdueAfter,
             size_t index);
  std::optional<Duration> end(TimePoint now, const FlowPacket& packet, Entry& entry) const;

  std::array<Entry, kEntries> entries_{};
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  uint64_t drainCount_ = 0;
};

}  // namespace umberhold
