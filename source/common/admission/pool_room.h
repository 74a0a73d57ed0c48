/** @file The room of a pool of hosts. */
#pragma once

namespace umberhold {

/** Requests that may be under way at a pool's hosts so that each still ends in time. */
struct PoolRoom {
  /** Of all nodes together; 0: not known, and nothing is held back. */
  double requests = 0.0;
  /** Part of it that this node may use, 0 to 1. */
  double part = 1.0;

  /** @return requests that this node may have under way. */
  double own() const { return requests * part; }
};

}  // namespace umberhold
