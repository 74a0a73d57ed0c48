/** @file How fast a host works compared with the others of its pool: the type that its learner,
 * placement and room share. */
#pragma once

#include <cstdint>

namespace umberhold {

/** A host's speed as learnt from the times of its requests, queueing left out. */
struct HostSpeed {
  /** Work in the same time, as a multiple of what the pool's median host does; 1: usual, or not
   * known. */
  double speed = 1.0;
  /** Requests that it rests on, each weighed by its age; 0: nothing is known. */
  double samples = 0.0;

  bool operator==(const HostSpeed&) const = default;
};

}  // namespace umberhold
