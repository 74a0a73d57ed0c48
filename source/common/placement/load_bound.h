/**
 * @file Host selection under a load bound.
 *
 * "Consistent hashing with bounded loads" (Mirrokni, Thorup, Zadimoghaddam): a host takes a new
 * flow only while its flows stay under bound x its weighted share of all flows; otherwise the flow
 * goes to another host. Here, a flow that is not placed on its base host is an exception that must
 * be replicated. The bound therefore follows the exception budget: tight while the budget is full,
 * loose during bursts.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "common/base/strong_id.h"
#include "common/messages/shard_messages.h"
#include "common/placement/base_table.h"
#include "common/placement/exception_budget.h"

namespace umberhold {

/** How the bound is determined. */
enum class BoundMode : uint8_t { kFixed, kAdaptive };

/** Where a flow is placed if its base host is over the bound. */
enum class OverflowRule : uint8_t {
  /** The next host under the bound in the flow's ranking. */
  kNextRanked,
  /** The host with the fewest flows relative to its weight. */
  kLeastLoaded,
};

/** Settings of the bound; every bound is a factor of at least 1. */
struct LoadBoundOptions {
  BoundMode mode = BoundMode::kAdaptive;
  OverflowRule overflow = OverflowRule::kLeastLoaded;
  /** Bound of BoundMode::kFixed. */
  double fixedBound = 1.05;
  /** Adaptive bound with a full and with an empty budget. */
  double minBound = 1.01;
  double maxBound = 1.25;
};

/** @return the bound for a budget filled to the fraction `fill` (0.0 to 1.0). */
double loadBound(const LoadBoundOptions& options, double fill);

/** State of one host; parallel to the list of BaseHost that ranks the hosts. */
struct HostCondition {
  /** Whether the host may take new flows. */
  bool admissible = false;
  /** Estimated flows over all owners. */
  double flows = 0.0;
};

/** The hosts that may be chosen for a new flow. */
struct PlacementCandidates {
  /** Current hosts and weights; both spans have the same length. */
  std::span<const BaseHost> hosts;
  std::span<const HostCondition> conditions;
};

/** The chosen candidate. */
struct BoundedChoice {
  size_t index = 0;
  /** The host differs from the base table's default. */
  bool isException = false;
  /** The base host was admissible, and only the load bound excluded it. */
  bool dueToLoad = false;
};

/**
 * Chooses a host for a new flow.
 *
 * @param bound factor of the weighted mean; 0 or less for no bound.
 * @return the choice, or nullopt if no candidate is admissible.
 */
std::optional<BoundedChoice> chooseUnderBound(FlowHash flow, const BaseTable& base,
                                              const PlacementCandidates& candidates, double bound,
                                              OverflowRule overflow);

}  // namespace umberhold
