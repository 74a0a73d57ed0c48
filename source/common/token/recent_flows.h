/**
 * @file The flows that passed this node of late, found again by their host.
 *
 * A caller that keeps a flow for many requests learns of its host's death only by its next request.
 * That request is lost where it may not be sent twice. So the node remembers the flows that it
 * carried: when a host is dead, the callers of its flows get a reset while they rest, and send
 * their next request on a new flow.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** A flow that a node carried. */
struct RecentFlow {
  FlowKey key;
  ServiceId service;
  /** Flow token of its host. */
  uint32_t token = 0;
  /** What its caller acknowledged last, as far as this node saw. */
  uint32_t acknowledged = 0;
  /** The caller sent data and has acknowledged nothing new since. */
  bool requestInFlight = false;
};

/**
 * Remembers 8,192 flows in 1.2 MB at most, whatever the number that a node carries: where more are
 * open, those that were silent the longest are forgotten first. Not thread safe.
 */
class RecentFlows {
 public:
  /** @param packet in a format that tells sequence numbers. An opening begins another flow with the
   * same addresses: what was known of the last one is forgotten. */
  void record(TimePoint now, const FlowPacket& packet);
  /** @return the flows that were seen since `oldest` and for which `isWanted` holds; they are
   * forgotten. */
  template <class Predicate>
  std::vector<RecentFlow> take(TimePoint oldest, const Predicate& isWanted) {
    return take(oldest, TimePoint::max(), isWanted);
  }
  /** The same, of the flows that were last seen before `end`. */
  template <class Predicate>
  std::vector<RecentFlow> take(TimePoint oldest, TimePoint end, const Predicate& isWanted) {
    std::vector<RecentFlow> taken;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      const auto next = std::next(entry);
      if (entry->at >= oldest && entry->at < end && isWanted(entry->flow)) {
        taken.push_back(entry->flow);
        forget(entry);
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

  void forget(Entries::iterator entry);
  /** @return the flow's entry, new or not, as the latest one. */
  Entry& latest(const FlowPacket& packet);

  /** The one that was silent the longest comes first. */
  Entries entries_;
  std::unordered_map<FlowHash, Entries::iterator> byHash_;
};

}  // namespace umberhold
