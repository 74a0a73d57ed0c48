/**
 * @file The choice of a host under a load bound.
 *
 * "Consistent hashing with bounded loads" (Mirrokni, Thorup, Zadimoghaddam): a host takes a new
 * flow only while its flows stay under bound x its weighted share of all flows; a flow whose hosts
 * of first rank are full goes on to another. Here a flow that leaves its base host is an exception
 * and costs replication, so the bound follows the budget of exceptions: tight while there is room,
 * loose in a rush.
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

/** How the bound is set. */
enum class BoundMode : uint8_t { kFixed, kAdaptive };

/** Where a flow goes whose base host is over the bound. */
enum class OverflowRule : uint8_t {
  /** The next host in the flow's ranking that is under the bound. */
  kNextRanked,
  /** The host furthest under its share. */
  kLeastLoaded,
};

/** Settings of the bound; every bound is a factor of at least 1. */
struct LoadBoundOptions {
  BoundMode mode = BoundMode::kAdaptive;
  OverflowRule overflow = OverflowRule::kLeastLoaded;
  /** Bound of BoundMode::kFixed. */
  double fixedBound = 1.05;
  /** Adaptive bound at a full and at an empty budget. */
  double tightest = 1.01;
  double loosest = 1.25;
};

/** @return the bound for a budget that is `fill` (0.0 to 1.0) full. */
double loadBound(const LoadBoundOptions& options, double fill);

/** What is known of one host; parallel to the list of BaseHost that ranks the hosts. */
struct HostCondition {
  /** Whether a new flow may go to the host at all. */
  bool admissible = false;
  /** Flows over all owners, estimated. */
  double flows = 0.0;
};

/** The hosts that a new flow may get. */
struct PlacementCandidates {
  /** Current hosts and weights; both spans have the same length. */
  std::span<const BaseHost> hosts;
  std::span<const HostCondition> conditions;
};

/** A choice among the candidates. */
struct BoundedChoice {
  size_t index = 0;
  /** Not the host that the base table says. */
  bool isException = false;
  /** The base host was admissible; the flow left it for the load bound alone. */
  bool forLoad = false;
};

/**
 * Chooses a host for a new flow.
 *
 * @param bound factor of the weighted mean; at or below 0 for no bound.
 * @return the choice, or nothing where no candidate is admissible.
 */
std::optional<BoundedChoice> chooseUnderBound(FlowHash flow, const BaseTable& base,
                                              const PlacementCandidates& candidates, double bound,
                                              OverflowRule overflow);

}  // namespace umberhold
