/**
 * @file Response times relative to the usual one: running statistics of a service and of a host.
 */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "common/base/time.h"
#include "common/speed/running_median.h"
#include "common/speed/work_times.h"

namespace umberhold {

/**
 * Recent response times of a host or a zone as a multiple of the usual one: a moving average that
 * decays towards 1, so that a host without samples counts as usual again after a while. Not thread
 * safe.
 */
class ResponseScore {
 public:
  /**
   * Upper bound for a sample, so that a single request neither makes a host slow nor outweighs many
   * others.
   */
  static constexpr double kMaxSample = 5.0;

  /** @param sampleWeight weight of a new sample against all earlier ones, 0 to 1. */
  explicit ResponseScore(double sampleWeight) : sampleWeight_(sampleWeight) {}

  /** @param ratio a response time as a multiple of the usual one. */
  void add(TimePoint now, double ratio) {
    const double before = value(now);
    samples_ = samples(now) + 1.0;
    value_ = before + sampleWeight_ * (std::min(ratio, kMaxSample) - before);
    at_ = std::max(now, at_);
  }
  /**
   * Replaces the value without adding a sample.
   * @param at may lie in the past.
   */
  void set(TimePoint at, double value) {
    value_ = std::min(value, kMaxSample);
    at_ = at;
  }
  /** @return a multiple of the usual response time; 1 if nothing is known. */
  double value(TimePoint now) const { return 1.0 + (value_ - 1.0) * decayFactor(now); }
  /** @return the number of samples with exponential decay by age. */
  double samples(TimePoint now) const { return samples_ * decayFactor(now); }

 private:
  double decayFactor(TimePoint now) const {
    const auto age = std::max(now - at_, Duration{0});
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(kHalfLife.count()));
  }

  /**
   * Without samples, the maximum score falls below 2.2 after 1.7 half-lives. With 1.2 s, flows
   * returned to slow hosts too early, which reduced the decision quality by 0.004 on days with slow
   * hosts (docs/DECISION_QUALITY.md).
   */
  static constexpr Duration kHalfLife = std::chrono::milliseconds(2500);

  double sampleWeight_;
  double value_ = 1.0;
  double samples_ = 0.0;
  TimePoint at_{};
};

/**
 * The usual response time of a service: a running median over all hosts. It follows lasting changes
 * and hardly moves during a burst of a few seconds. Not thread safe.
 */
class UsualResponseTime {
 public:
  void add(TimePoint now, Duration response) {
    median_.add(now, std::log(millisecondsOf(response)));
  }
  /**
   * @return the response time as a multiple of the usual one; nothing until there are enough
   * samples.
   */
  std::optional<double> ratioOf(Duration response) const {
    if (median_.samples() < kMinSamples) {
      return std::nullopt;
    }
    return millisecondsOf(response) / std::exp(median_.value());
  }
  /** @return `ratio` times the usual response time; nothing until there are enough samples. */
  std::optional<Duration> timeOf(double ratio) const {
    if (median_.samples() < kMinSamples) {
      return std::nullopt;
    }
    const double milliseconds = std::exp(median_.value()) * ratio - kSlackMilliseconds;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
  }

 private:
  static double millisecondsOf(Duration response) {
    return std::chrono::duration<double, std::milli>(response).count() + kSlackMilliseconds;
  }

  /** Added to all times, because differences of a few milliseconds come from the network. */
  static constexpr double kSlackMilliseconds = kScoreSlackMilliseconds;
  static constexpr uint32_t kMinSamples = 5;

  /** Natural logarithm of milliseconds. */
  RunningMedian median_;
};

}  // namespace umberhold
