#include "common/placement/load_bound.h"

#include <cmath>

#include "common/placement/rendezvous.h"

namespace umberhold {
namespace {

/** Tolerance for rounding errors of the weighted mean, so that a host with exactly its share is not
 * seen as over it. */
constexpr double kRounding = 1e-9;

/** Totals over all usable candidates. */
struct Totals {
  double flows = 0.0;
  double weight = 0.0;
};

bool usable(const PlacementCandidates& candidates, size_t index) {
  return candidates.conditions[index].admissible && candidates.hosts[index].weight > 0;
}

Totals totalsOf(const PlacementCandidates& candidates) {
  Totals totals;
  for (size_t index = 0; index < candidates.hosts.size(); ++index) {
    if (usable(candidates, index)) {
      totals.flows += candidates.conditions[index].flows;
      totals.weight += candidates.hosts[index].weight;
    }
  }
  return totals;
}

/** @return the host's weighted share of all flows, including the new one. */
double targetOf(const Totals& totals, uint8_t weight) {
  return (totals.flows + 1.0) * weight / totals.weight;
}

bool underBound(const PlacementCandidates& candidates, size_t index, const Totals& totals,
                double bound) {
  if (bound <= 0.0) {
    return true;
  }
  const double limit =
      std::ceil(bound * targetOf(totals, candidates.hosts[index].weight) - kRounding);
  return candidates.conditions[index].flows + 1.0 <= limit + kRounding;
}

size_t indexOf(const PlacementCandidates& candidates, std::optional<HostId> host) {
  size_t index = 0;
  while (index < candidates.hosts.size() && candidates.hosts[index].host != host) {
    ++index;
  }
  return index;
}

/** @return the first usable host under the bound in the flow's ranking, or the number of
 * candidates. */
size_t nextRanked(FlowHash flow, const PlacementCandidates& candidates, const Totals& totals,
                  double bound) {
  RendezvousWalk walk(candidates.hosts, flow);
  for (size_t index = walk.next(); index < candidates.hosts.size(); index = walk.next()) {
    if (usable(candidates, index) && underBound(candidates, index, totals, bound)) {
      return index;
    }
  }
  return candidates.hosts.size();
}

/** @return the usable host with the fewest flows relative to its weight, or the number of
 * candidates. */
size_t leastLoaded(const PlacementCandidates& candidates) {
  size_t best = candidates.hosts.size();
  double bestLoad = 0.0;
  for (size_t index = 0; index < candidates.hosts.size(); ++index) {
    if (!usable(candidates, index)) {
      continue;
    }
    const double load = (candidates.conditions[index].flows + 1.0) / candidates.hosts[index].weight;
    if (best == candidates.hosts.size() || load < bestLoad) {
      best = index;
      bestLoad = load;
    }
  }
  return best;
}

}  // namespace

double loadBound(const LoadBoundOptions& options, double fill) {
  if (options.mode == BoundMode::kFixed) {
    return options.fixedBound;
  }
  return options.minBound + (options.maxBound - options.minBound) * (1.0 - fill);
}

std::optional<BoundedChoice> chooseUnderBound(FlowHash flow, const BaseTable& base,
                                              const PlacementCandidates& candidates, double bound,
                                              OverflowRule overflow) {
  const size_t none = candidates.hosts.size();
  const Totals totals = totalsOf(candidates);
  const size_t defaultIndex = indexOf(candidates, base.defaultHost(flow));
  const bool defaultUsable = defaultIndex != none && usable(candidates, defaultIndex);
  if (defaultUsable && underBound(candidates, defaultIndex, totals, bound)) {
    return BoundedChoice{defaultIndex, false, false};
  }
  size_t chosen = none;
  if (overflow == OverflowRule::kNextRanked || !defaultUsable) {
    chosen = nextRanked(flow, candidates, totals, bound);
  }
  if (chosen == none) {
    chosen = leastLoaded(candidates);
  }
  if (chosen == none) {
    return std::nullopt;
  }
  return BoundedChoice{chosen, chosen != defaultIndex, defaultUsable};
}

}  // namespace umberhold
