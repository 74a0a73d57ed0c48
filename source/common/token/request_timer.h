/**
 * @file Measures response times from the packets of callers alone.
 *
 * Data from a caller starts a request. The first later packet with a higher acknowledgement number
 * ends it, because only an answer can be acknowledged. This is the in-band measurement of Shobhana
 * et al., "Load Balancers Need In-Band Feedback Control" (HotNets 2022), for load balancers that do
 * not see answers. Bounded state, no I/O.
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

/** A request that has waited longer than its limit. */
struct OverdueRequest {
  ServiceId service;
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Time since the first packet of the request passed. */
  Duration waited{};
};

/**
 * Tracks the request in flight of the most recently seen flows; an evicted flow is not timed. Uses
 * 56 KB, whatever the number of flows. Not thread safe.
 */
class RequestTimer {
 public:
  /**
   * @param packet a packet of an established flow, in a format with sequence numbers.
   * @param overdueAfter how long a request that starts now may wait before it is overdue; unset:
   * never overdue.
   * @return the time from the first packet of the request to its answer, if this packet shows it.
   * Not measured are: requests with retransmitted data (packet loss or a silent host), requests
   * whose answer is acknowledged only together with the next request (the caller paused in
   * between), requests of which a part, or a later request, passed through another node, and
   * requests that were handled in the same batch as their answer (this node has a backlog).
   */
  std::optional<Duration> record(TimePoint now, const FlowPacket& packet,
                                 std::optional<Duration> overdueAfter);
  /**
   * Discards the requests in flight to a host that has restarted; they are lost and their times are
   * meaningless.
   */
  void discardHost(uint32_t token);
  /**
   * Called when all packets that had arrived are handled.
   * @return requests that became overdue; each is reported once.
   */
  std::vector<OverdueRequest> onCaughtUp(TimePoint now);

 private:
  struct Entry {
    FlowHash flow;
    ServiceId service;
    uint32_t token = 0;
    uint32_t sequence = 0;
    /** Sequence number after the data of the request that has passed so far. */
    uint32_t endSequence = 0;
    uint32_t acknowledged = 0;
    bool requestInFlight = false;
    bool retransmitted = false;
    TimePoint beganAt{};
    /** Value of drainCount_ when the request started. */
    uint64_t drainCount = 0;
  };
  /** Entry of the queue of requests to check once they may be overdue. */
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
  /** Number of onCaughtUp() calls. */
  uint64_t drainCount_ = 0;
};

}  // namespace umberhold
