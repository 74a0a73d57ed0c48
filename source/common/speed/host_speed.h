/**
 * @file Speed of a host relative to the other hosts of its pool; shared by speed estimation,
 * placement and admission.
 */
#pragma once

#include <cstdint>

namespace umberhold {

/** Speed of a host, estimated from the processing times of its requests without queueing. */
struct HostSpeed {
  /** Work done in the same time as a multiple of the pool's median host; 1: usual or unknown. */
  double speed = 1.0;
  /** Number of requests behind the estimate, with decay by age; 0: unknown. */
  double samples = 0.0;

  bool operator==(const HostSpeed&) const = default;
};

}  // namespace umberhold
