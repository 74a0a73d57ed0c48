/**
 * @file Decides which flows of dead hosts are reset, and at what rate.
 *
 * Resetting an idle flow costs the caller nothing: its next request uses a new flow. A request sent
 * on a dead flow is lost if it is not safe to retry.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/flow/flow_director.h"
#include "common/token/recent_flows.h"

namespace umberhold {

/** Not thread safe. */
class DeadHostFlows {
 public:
  /**
   * @param flowLife maximum lifetime of a flow. A flow that was last seen longer ago is assumed to
   * be over, and its addresses may belong to another flow.
   */
  explicit DeadHostFlows(Duration flowLife) : flowLife_(flowLife) {}
  void setFlowLife(Duration flowLife) { flowLife_ = flowLife; }

  /** @param packet a packet of a flow that has not been reset. */
  void record(TimePoint now, const FlowPacket& packet) {
    recent_.expire(now - flowLife_);
    recent_.record(now, packet);
  }
  /** @return when the first packet of the flow was recorded; nothing if the flow is not known. */
  std::optional<TimePoint> firstSeenAt(TimePoint now, FlowHash hash) {
    recent_.expire(now - flowLife_);
    return recent_.firstSeenAt(hash);
  }
  /**
   * Resets the flows of hosts that have terminated.
   * @param tokens flow tokens of these hosts.
   * @param knownAsOf time up to which the hosts are known; a flow that was first seen later may
   * belong to a later process of its host, which is not known yet.
   */
  void onEnded(TimePoint now, const std::set<uint32_t>& tokens,
               TimePoint knownAsOf = TimePoint::max());
  /**
   * Handles the restart of a host under the same token. Flows that were last seen before the
   * restart are reset. Flows seen later reached the restarted host, which itself resets flows that
   * it does not hold.
   * @param startedAt start time of the new process by this node's clock.
   */
  void onRestarted(TimePoint now, uint32_t token, TimePoint startedAt);
  /**
   * Handles hosts that are silent to several flows. Idle flows are reset, and so are flows with a
   * request in flight that is safe to retry. A request that is not safe to retry is left to its
   * host, which may still answer.
   * @param isRepeatable returns whether requests of a service are safe to retry.
   */
  void onSilent(TimePoint now, const std::set<uint32_t>& tokens,
                const std::function<bool(ServiceId)>& isRepeatable);
  /** @return the flows to reset now, at most kMaxResetsPerCall. */
  std::vector<ResetFlow> take();
  bool hasPending() const { return !pending_.empty(); }

  /**
   * A reset takes a system call, an estimated 10 to 20 microseconds of CPU time, so this many delay
   * packets by at most 1 ms.
   */
  static constexpr size_t kMaxResetsPerCall = 64;

 private:
  void add(const std::vector<RecentFlow>& flows, RefusalReason reason);

  Duration flowLife_;
  RecentFlows recent_;
  std::deque<ResetFlow> pending_;
};

}  // namespace umberhold
