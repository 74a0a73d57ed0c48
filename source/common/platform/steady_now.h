/**
 * @file Monotonic clock for the blocking part of this subsystem; its decision logic takes time
 * points as arguments.
 */
#pragma once

#include <chrono>

#include "common/base/time.h"

namespace umberhold {

/** @return the current time of the process's monotonic clock. */
inline TimePoint steadyNow() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace umberhold
