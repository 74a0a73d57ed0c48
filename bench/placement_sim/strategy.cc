#include "bench/placement_sim/strategy.h"

#include <algorithm>

#include "common/placement/rendezvous.h"

namespace umberhold::placement_sim {
namespace {

Strategy bounded(std::string name, LoadBoundOptions bound) {
  return {std::move(name), PlacementRule::kBounded, bound, ShareAging::kMeanLife, {}};
}

LoadBoundOptions fixedBound(double factor, OverflowRule overflow) {
  return {BoundMode::kFixed, overflow, factor, 1.0, 1.0};
}

LoadBoundOptions adaptiveBound(OverflowRule overflow) {
  LoadBoundOptions options;
  options.overflow = overflow;
  return options;
}

}  // namespace

SimOwner::SimOwner(const Strategy& strategy, const std::vector<BaseHost>& hosts, uint16_t shard)
    : strategy_(strategy),
      hosts_(hosts),
      shard_(shard),
      base_(hosts),
      loads_(strategy.aging),
      budget_(strategy.budget),
      conditions_(hosts.size()) {
  std::vector<HostId> hostIds;
  hostIds.reserve(hosts.size());
  for (const BaseHost& host : hosts) {
    hostIds.push_back(host.host);
  }
  loads_.setHosts(hostIds);
  loads_.addOwnShard(shard, {});
}

double SimOwner::boundAt(TimePoint now) {
  if (strategy_.bound.mode == BoundMode::kFixed) {
    return loadBound(strategy_.bound, 1.0);
  }
  return budget_.available(now) ? loadBound(strategy_.bound, budget_.fill(now)) : 0.0;
}

SimChoice SimOwner::leastOfTwo(FlowHash flow, size_t defaultHost) const {
  RendezvousWalk walk(hosts_, flow);
  walk.next();
  const size_t second = walk.next();
  const bool better = conditions_[second].flows < conditions_[defaultHost].flows;
  return {better ? second : defaultHost, better};
}

SimChoice SimOwner::leastConnections(size_t defaultHost) const {
  const auto fewer = [](const HostCondition& left, const HostCondition& right) {
    return left.flows < right.flows;
  };
  const auto best = std::min_element(conditions_.begin(), conditions_.end(), fewer);
  const auto host = static_cast<size_t>(best - conditions_.begin());
  const bool better = best->flows < conditions_[defaultHost].flows;
  return {better ? host : defaultHost, better};
}

SimChoice SimOwner::choose(TimePoint now, FlowHash flow) {
  const auto flows = loads_.placementLoad(now);
  for (size_t host = 0; host < hosts_.size(); ++host) {
    conditions_[host] = {true, flows[host]};
  }
  const size_t defaultHost = bestHost(hosts_, flow);
  switch (strategy_.rule) {
    case PlacementRule::kPlainRendezvous:
      return {defaultHost, false};
    case PlacementRule::kLeastOfTwo:
      return leastOfTwo(flow, defaultHost);
    case PlacementRule::kLeastConnections:
      return leastConnections(defaultHost);
    case PlacementRule::kBounded:
      break;
  }
  const auto choice =
      chooseUnderBound(flow, base_, {hosts_, conditions_}, boundAt(now), strategy_.bound.overflow);
  if (choice->isException) {
    budget_.spend(now);
  }
  return {choice->index, choice->isException};
}

LoadShare SimOwner::makeShare() const {
  LoadShare share{ShardId{ServiceId{1}, shard_}, 1, {}};
  for (const BaseHost& host : hosts_) {
    const uint32_t flows = loads_.shardFlows(shard_, loads_.findSlot(host.host));
    share.hosts.push_back({host.host, flows, 0, true});
  }
  return share;
}

std::vector<Strategy> allStrategies() {
  std::vector<Strategy> strategies;
  strategies.push_back({"plain rendezvous", PlacementRule::kPlainRendezvous, {}, {}, {}});
  strategies.push_back({"least of two", PlacementRule::kLeastOfTwo, {}, {}, {}});
  strategies.push_back({"least connections", PlacementRule::kLeastConnections, {}, {}, {}});
  for (const OverflowRule overflow : {OverflowRule::kNextRanked, OverflowRule::kLeastLoaded}) {
    const std::string suffix = overflow == OverflowRule::kNextRanked ? ", next" : ", least";
    strategies.push_back(bounded("bound 1.10" + suffix, fixedBound(1.10, overflow)));
    strategies.push_back(bounded("bound 1.05" + suffix, fixedBound(1.05, overflow)));
    strategies.push_back(bounded("bound 1.02" + suffix, fixedBound(1.02, overflow)));
    strategies.push_back(bounded("adaptive" + suffix, adaptiveBound(overflow)));
  }
  return strategies;
}

}  // namespace umberhold::placement_sim
