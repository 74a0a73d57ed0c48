/** @file How many requests a node has under way, on average of late. */
#pragma once

#include <algorithm>
#include <cmath>

#include "common/base/time.h"

namespace umberhold {

/**
 * Requests under way by Little's law: their rate times the time that each took. It counts those
 * that wait at hosts as well, so that it rises above the number of slots where hosts are
 * overloaded. Not thread safe.
 */
class RequestsUnderWay {
 public:
  /** A request ended, or waits beyond all measure. */
  void onEnded(TimePoint now, Duration took) {
    sum_ = sum_ * fading(now) + std::chrono::duration<double>(took).count();
    at_ = std::max(now, at_);
  }
  /** @return the average, over about a second. */
  double value(TimePoint now) const { return sum_ * fading(now) / kMemorySeconds; }

 private:
  double fading(TimePoint now) const {
    const double age = std::chrono::duration<double>(std::max(now - at_, Duration{0})).count();
    return std::exp(-age / kMemorySeconds);
  }

  /** A node of a large fleet ends some 20 requests in this time; a burst of callers opens its flows
   * within a few seconds. */
  static constexpr double kMemorySeconds = 1.0;

  double sum_ = 0.0;
  TimePoint at_{};
};

}  // namespace umberhold
