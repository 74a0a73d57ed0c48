/** @file Placement strategies that the simulation compares. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "common/placement/exception_budget.h"
#include "common/placement/host_load_table.h"
#include "common/placement/load_bound.h"

namespace umberhold::placement_sim {

/** How an owner selects the host of a new flow. */
enum class PlacementRule { kPlainRendezvous, kBounded, kLeastOfTwo, kLeastConnections };

/** One strategy. The table has up to three rows for it, which differ in the use of load reports. */
struct Strategy {
  std::string name;
  PlacementRule rule = PlacementRule::kPlainRendezvous;
  LoadBoundOptions bound;
  ShareAging aging = ShareAging::kMeanLife;
  ExceptionBudgetOptions budget;
};

/** Placement of a flow; the host is an index. */
struct SimChoice {
  size_t host = 0;
  bool isException = false;
};

/** Owner of one shard, with the production load table and load bound. Borrows strategy and hosts.
 */
class SimOwner {
 public:
  SimOwner(const Strategy& strategy, const std::vector<BaseHost>& hosts, uint16_t shard);

  SimChoice choose(TimePoint now, FlowHash flow);
  void flowAdded(size_t host) { loads_.flowAdded(shard_, hosts_[host].host, false); }
  void flowRemoved(size_t host) { loads_.flowRemoved(shard_, hosts_[host].host); }
  LoadShare makeShare() const;
  void onShare(TimePoint now, const LoadShare& share) { loads_.onLoadShare(now, share); }

 private:
  double boundAt(TimePoint now);
  SimChoice leastOfTwo(FlowHash flow, size_t defaultHost) const;
  SimChoice leastConnections(size_t defaultHost) const;

  const Strategy& strategy_;
  const std::vector<BaseHost>& hosts_;
  uint16_t shard_;
  BaseTable base_;
  HostLoadTable loads_;
  ExceptionBudget budget_;
  std::vector<HostCondition> conditions_;
};

/** @return the strategies in the order of the table; the production default is last. */
std::vector<Strategy> allStrategies();

}  // namespace umberhold::placement_sim
