/** @file The room of a pool of hosts: how many requests may be under way there. */
#pragma once

namespace umberhold {

/** Maximum number of requests under way at a pool's hosts for which each still completes in time.
 */
struct PoolRoom {
  /** Total over all nodes; 0: not known, and nothing is limited. */
  double requests = 0.0;
  /** Fraction of it that this node may use, 0 to 1. */
  double part = 1.0;

  /** @return maximum number of requests under way for this node. */
  double own() const { return requests * part; }
};

}  // namespace umberhold
