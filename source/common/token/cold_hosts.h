/**
 * @file Limits how many new flows one node sends to a host that has just started.
 *
 * A cold host can handle only a few requests per second in total over all nodes. Nodes do not
 * coordinate per flow; instead, each node has an allotment for each cold host, so that the sum over
 * all nodes stays below the host's limit. Fractional allotments are rounded up or down at random,
 * because one node of many may be entitled to less than one flow.
 */
#pragma once

#include <cstdint>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/**
 * What a cold host can handle beyond the configured rate of its service; comes from the platform's
 * limits.
 */
struct ColdHostOptions {
  /** Multiple of the service's rate that a cold host can still handle. */
  double rateFactor = 1.5;
  /** Requests per second in addition to that. */
  double rateAllowance = 5.0;

  bool operator==(const ColdHostOptions&) const = default;
};

/** Number of nodes that may send to a host, according to this node's member list. */
struct SendingNodes {
  /** Nodes in this node's zone, including this node. */
  uint32_t nodesInZone = 1;
  /** Number of zones that contain hosts of the pool. */
  uint32_t zones = 1;
};

/** The warm-up phase of one host as seen by one node. Not thread safe. */
class ColdAllotment {
 public:
  /**
   * Starts a cold phase that lasts `remaining` from now on. If a cold phase is already in progress,
   * its allotment stays unchanged and only its end may move later.
   * @param flows number of new flows that this node may send to the host during the phase.
   */
  void begin(TimePoint now, Duration remaining, double flows, RandomSource& random);
  bool isCold(TimePoint now) const { return now < coldUntil_; }
  /** @return whether this node may send a new flow to the host now. */
  bool canTakeFlow(TimePoint now) const {
    return !isCold(now) || (remainingFlows_ > 0 && now >= nextFlowAt_);
  }
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
 * @return the number of flows that one node may send to a cold host. Nodes of the host's own zone
 * share 0.3 of the host's limit and nodes of other zones share 0.05, because each flow carries more
 * than one request and requests may be retried.
 */
double coldFlowsPerNode(const ColdHostOptions& options, const ColdLimit& limit,
                        const SendingNodes& nodes, bool ownZone);

}  // namespace umberhold
