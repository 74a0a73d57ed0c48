/**
 * @file Flows that this node carried recently, indexed for lookup by host.
 *
 * A caller that uses a flow for many requests notices the death of its host only with its next
 * request, which is lost if it is not safe to retry. Therefore the node keeps the flows that it
 * carried: when a host is dead, the callers of its flows receive a reset while the flows are idle
 * and send their next request on a new flow.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** A flow carried by this node. */
struct RecentFlow {
  FlowKey key;
  ServiceId service;
  /** Flow token of its host. */
  uint32_t token = 0;
  /** Last acknowledgement number of the caller, as far as this node saw. */
  uint32_t acknowledged = 0;
  /** The caller sent data and has not acknowledged new data since. */
  bool requestInFlight = false;
  /** When this node received the first packet of the flow, as far as it remembers. */
  TimePoint firstSeenAt{};
};

/**
 * Holds at most 8,192 flows in 1.3 MB, whatever the number of flows that a node carries. If more
 * are open, the flows that were idle the longest are evicted first. Not thread safe.
 */
class RecentFlows {
 public:
  /**
   * @param packet in a format with sequence numbers. An opening packet starts another flow with the
   * same addresses and discards the state of the previous one.
   */
  void record(TimePoint now, const FlowPacket& packet);
  /** @return when the first packet of the flow arrived; nothing if the flow is not known. */
  std::optional<TimePoint> firstSeenAt(FlowHash hash) const;
  /** Discards the flows that were last seen before `oldest`. */
  void expire(TimePoint oldest);
  /** @return the flows seen since `oldest` for which `isWanted` returns true; they are removed. */
  template <class Predicate>
  std::vector<RecentFlow> take(TimePoint oldest, const Predicate& isWanted) {
    return take(oldest, TimePoint::max(), isWanted);
  }
  /** The same for flows that were last seen before `end`. */
  template <class Predicate>
  std::vector<RecentFlow> take(TimePoint oldest, TimePoint end, const Predicate& isWanted) {
    std::vector<RecentFlow> taken;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      const auto next = std::next(entry);
      if (entry->at >= oldest && entry->at < end && isWanted(entry->flow)) {
        taken.push_back(entry->flow);
        remove(entry);
      }
      entry = next;
    }
    return taken;
  }

  static constexpr size_t kCapacity = 8192;

 private:
  struct Entry {
    FlowHash hash;
    RecentFlow flow;
    TimePoint at{};
  };
  using Entries = std::list<Entry>;

  void remove(Entries::iterator entry);
  /** @return the entry of the flow, created if necessary, moved to the most recent position. */
  Entry& latest(const FlowPacket& packet);

  /** Least recently seen flow first. */
  Entries entries_;
  std::unordered_map<FlowHash, Entries::iterator> byHash_;
};

}  // namespace umberhold
