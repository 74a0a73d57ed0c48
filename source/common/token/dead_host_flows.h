/**
 * @file Which flows of hosts that have died are reset, and how fast.
 *
 * A reset in a caller's pause costs it nothing: its next request goes on a new flow. A request that
 * is sent into a dead flow is lost for good where it may not run twice.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <vector>

#include "common/flow/flow_director.h"
#include "common/token/recent_flows.h"

namespace umberhold {

/** Not thread safe. */
class DeadHostFlows {
 public:
  /** @param flowLife no flow lives longer; what was not seen for so long is another one by now. */
  explicit DeadHostFlows(Duration flowLife) : flowLife_(flowLife) {}
  void setFlowLife(Duration flowLife) { flowLife_ = flowLife; }

  /** @param packet of a flow whose host may live. */
  void record(TimePoint now, const FlowPacket& packet) { recent_.record(now, packet); }
  /** Hosts have definitely ended. @param tokens theirs. All their flows are reset. */
  void onEnded(TimePoint now, const std::set<uint32_t>& tokens);
  /**
   * A host started again under its token. Its flows that rested since before its birth are reset;
   * those seen later went to the new life, which itself answers what it does not hold with a reset.
   * @param born when its new life began, by this node's clock.
   */
  void onRestarted(TimePoint now, uint32_t token, TimePoint born);
  /**
   * Hosts are silent to several flows. Flows at rest are reset, and those with a request under way
   * that may run twice; a request that may not is left to its host, which may yet answer it.
   * @param isRepeatable called with a service: whether its requests may run twice.
   */
  void onSilent(TimePoint now, const std::set<uint32_t>& tokens,
                const std::function<bool(ServiceId)>& isRepeatable);
  /** @return flows to be reset now, at most kMaxResetsPerCall. */
  std::vector<ResetFlow> take();
  bool hasPending() const { return !pending_.empty(); }

  /** A reset costs a system call, 10 to 20 microseconds of a core (estimated): so many hold packets
   * up by 1 ms at most. */
  static constexpr size_t kMaxResetsPerCall = 64;

 private:
  void add(const std::vector<RecentFlow>& flows, RefusalReason reason);

  Duration flowLife_;
  RecentFlows recent_;
  std::deque<ResetFlow> pending_;
};

}  // namespace umberhold
