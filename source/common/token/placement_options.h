/** @file How hosts of a pool are compared for a new flow (flow/flow_placement.h). */
#pragma once

namespace umberhold {

/** Limits of a placement. A ratio that no host reaches switches its mechanism off. */
struct PlacementOptions {
  /** Hosts of the node's own zone come before others. */
  bool prefersOwnZone = true;
  /** A host's load is scaled up from so many times the median on. */
  double weighedRatio = 1.2;
  /** The own zone's hosts answer so many times later than those of other zones: a part of the flows
   * leaves. Hosts that are used to 70% answer 1.3 times later than idle ones (M/M/3). */
  double zoneLeavesRatio = 1.3;
  /** Requests under way of a zone's callers, for each slot of its hosts, up to which all new flows
   * stay in the zone; beyond it a part is spread over the hosts of all zones. */
  double fullZoneLoad = 0.7;

  /** A host's weight counts times its learnt speed, and its times are judged by that speed. */
  bool learnsSpeeds = true;

  bool operator==(const PlacementOptions&) const = default;
};

}  // namespace umberhold
