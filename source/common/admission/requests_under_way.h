/** @file Recent average of the number of requests that a node has under way. */
#pragma once

#include <algorithm>
#include <cmath>

#include "common/base/time.h"

namespace umberhold {

/**
 * Number of requests under way by Little's law: request rate times request duration. It includes
 * requests that are queued at hosts, so it exceeds the number of slots when hosts are overloaded.
 * Not thread safe.
 */
class RequestsUnderWay {
 public:
  /** A request ended, or has been waiting for an excessive time. */
  void onEnded(TimePoint now, Duration took) {
    sum_ = sum_ * decay(now) + std::chrono::duration<double>(took).count();
    at_ = std::max(now, at_);
  }
  /** @return the average, over about a second. */
  double value(TimePoint now) const { return sum_ * decay(now) / kAveragingSeconds; }

 private:
  double decay(TimePoint now) const {
    const double age = std::chrono::duration<double>(std::max(now - at_, Duration{0})).count();
    return std::exp(-age / kAveragingSeconds);
  }

  /** Long enough for about 20 requests to end at a node of a large fleet, and shorter than the few
   * seconds within which a burst of callers opens its flows. */
  static constexpr double kAveragingSeconds = 1.0;

  double sum_ = 0.0;
  TimePoint at_{};
};

}  // namespace umberhold
