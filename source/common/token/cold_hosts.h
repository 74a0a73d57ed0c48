/**
 * @file How many new flows one node gives to a host that has started a moment ago.
 *
 * A cold host bears few requests a second, counted over all nodes. Nodes don't talk about each
 * flow: each has an allotment for each cold host, so that all of them together stay below what the
 * host bears. Fractions are settled by lot, since a node of many may give less than one flow.
 */
#pragma once

#include <cstdint>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/** What a cold host bears beyond its service's rate, from the platform's bounds. */
struct ColdHostOptions {
  /** Multiple of the service's rate that is not too much yet. */
  double rateFactor = 1.5;
  /** Requests a second on top of that. */
  double rateAllowance = 5.0;

  bool operator==(const ColdHostOptions&) const = default;
};

/** Nodes that may send to a host, as far as this node knows. */
struct SendingNodes {
  /** In this node's zone, itself included. */
  uint32_t nodesInZone = 1;
  /** Zones that have hosts of the pool. */
  uint32_t zones = 1;
};

/** One host's cold time, as one node deals with it. Not thread safe. */
class ColdAllotment {
 public:
  /**
   * The host is cold for `remaining` from now on. An allotment that runs stays as it is.
   * @param flows that this node may give it meanwhile.
   */
  void begin(TimePoint now, Duration remaining, double flows, RandomSource& random);
  bool isCold(TimePoint now) const { return now < coldUntil_; }
  /** @return whether the host may get a new flow of this node. */
  bool canTakeFlow(TimePoint now) const { return !isCold(now) || (remainingFlows_ > 0 && now >= nextFlowAt_); }
  void onPlaced(TimePoint now);

 private:
  TimePoint coldUntil_{};
  uint32_t remainingFlows_ = 0;
  /** The allotment is spread over the first second. */
  TimePoint nextFlowAt_{};
  Duration flowInterval_{0};
};

/**
 * @param ownZone whether the host is in this node's zone.
 * @return flows that one node may give to a cold host. 0.3 of what the host bears is for nodes of
 * its own zone, 0.05 for those of others: each flow brings more than one request, and a request may
 * be repeated.
 */
double coldFlowsPerNode(const ColdHostOptions& options, const ColdLimit& limit,
                       const SendingNodes& nodes, bool ownZone);

}  // namespace umberhold
