/** @file Options for comparing the hosts of a pool for a new flow (token/flow_placement.h). */
#pragma once

namespace umberhold {

/** Thresholds of the placement. A mechanism is disabled by a ratio that no host reaches. */
struct PlacementOptions {
  /** Prefer hosts of the node's own zone. */
  bool prefersOwnZone = true;
  /** A host's load is scaled up if its response times exceed this multiple of the median. */
  double weighedRatio = 1.2;
  /**
   * Some flows leave the own zone if its hosts' response times exceed this multiple of those in
   * other zones. Response times at 70% utilization are 1.3 times those of an idle host (M/M/3).
   */
  double zoneLeavesRatio = 1.3;
  /**
   * Requests in flight of a zone's callers, per slot of its hosts, up to which all new flows stay
   * in the zone; above it, a fraction is spread over the hosts of all zones.
   */
  double fullZoneLoad = 0.7;

  /**
   * Multiply the weight of a host by its estimated speed, and evaluate its response times relative
   * to that speed.
   */
  bool learnsSpeeds = true;

  bool operator==(const PlacementOptions&) const = default;
};

}  // namespace umberhold
