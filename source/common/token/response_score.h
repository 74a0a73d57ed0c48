/** @file How long answers take, compared with what is usual: running figures of a service and of a
 * host. */
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
 * A host's or a zone's answers of late, as a multiple of the usual time: a moving average over
 * samples that fades towards 1, so that what is not tried for a while counts as usual again. Not
 * thread safe.
 */
class ResponseScore {
 public:
  /** A sample counts for no more, so that one request neither makes a host slow nor outweighs many.
   */
  static constexpr double kMaxSample = 5.0;

  /** @param part weight of a new sample against all earlier ones, 0 to 1. */
  explicit ResponseScore(double sampleWeight) : sampleWeight_(sampleWeight) {}

  /** @param ratio an answer's time as a multiple of the usual one. */
  void add(TimePoint now, double ratio) {
    const double before = value(now);
    samples_ = samples(now) + 1.0;
    value_ = before + sampleWeight_ * (std::min(ratio, kMaxSample) - before);
    at_ = std::max(now, at_);
  }
  /** Takes over a value in place of samples. @param at may lie in the past. */
  void set(TimePoint at, double value) {
    value_ = std::min(value, kMaxSample);
    at_ = at;
  }
  /** @return a multiple of the usual time; 1 where nothing is known. */
  double value(TimePoint now) const { return 1.0 + (value_ - 1.0) * decayFactor(now); }
  /** @return the number of samples, each weighed by its age. */
  double samples(TimePoint now) const { return samples_ * decayFactor(now); }

 private:
  double decayFactor(TimePoint now) const {
    const auto age = std::max(now - at_, Duration{0});
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(kHalfLife.count()));
  }

  /** Without samples the worst score is below 2.2 after 1.7 of these. With 1.2 s, flows that came
   * back too soon cost 0.004 of the worth on days with slow hosts (docs/DECISION_QUALITY.md). */
  static constexpr Duration kHalfLife = std::chrono::milliseconds(2500);

  double sampleWeight_;
  double value_ = 1.0;
  double samples_ = 0.0;
  TimePoint at_{};
};

/**
 * The usual time of a service's answers: a running median over all hosts. It follows lasting
 * changes and hardly moves in a burst of a few seconds. Not thread safe.
 */
class UsualResponseTime {
 public:
  void add(TimePoint now, Duration response) {
    median_.add(now, std::log(millisecondsOf(response)));
  }
  /** @return the response as a multiple of the usual time; nothing before enough is known. */
  std::optional<double> ratioOf(Duration response) const {
    if (median_.samples() < kMinSamples) {
      return std::nullopt;
    }
    return millisecondsOf(response) / std::exp(median_.value());
  }
  /** @return when a request has waited `ratio` times as long as usual. */
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

  /** Is added to all times: differences of a few milliseconds tell of the network. */
  static constexpr double kSlackMilliseconds = kScoreSlackMilliseconds;
  static constexpr uint32_t kMinSamples = 5;

  /** Natural logarithm of milliseconds. */
  RunningMedian median_;
};

}  // namespace umberhold
