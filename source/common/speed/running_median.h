/** @file Running median of a stream of samples that are not stored. */
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "common/base/time.h"

namespace umberhold {

/**
 * Running median of logarithms of times. It follows lasting changes and hardly moves during a burst
 * of a few seconds; outliers count no more than other samples. Not thread safe.
 */
class RunningMedian {
 public:
  /** @param sample natural logarithm of a time. */
  void add(TimePoint now, double sample) {
    const double seconds = std::chrono::duration<double>(now - at_).count();
    const double drift = kDriftPerSecond * std::clamp(seconds, 0.0, 1.0);
    at_ = now;
    ++samples_;
    if (samples_ == 1) {
      median_ = sample;
    }
    const double step = samples_ < kWarmUpSamples ? 1.0 / samples_ : drift;
    median_ += std::clamp(sample - median_, -step, step);
  }
  /** @return a natural logarithm; 0 without samples. */
  double value() const { return median_; }
  uint32_t samples() const { return samples_; }

 private:
  /**
   * Maximum change per second after the warm-up, in natural logarithm: about this fraction of the
   * median time.
   */
  static constexpr double kDriftPerSecond = 0.05;
  static constexpr uint32_t kWarmUpSamples = 16;

  double median_ = 0.0;
  uint32_t samples_ = 0;
  TimePoint at_{};
};

}  // namespace umberhold
