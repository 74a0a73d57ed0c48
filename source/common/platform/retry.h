/** @file Retry pacing: jittered exponential backoff and a retry budget. */
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/random.h"
#include "common/base/time.h"

namespace umberhold {

/** Parameters of a backoff. */
struct BackOffOptions {
  Duration initialDelay = std::chrono::milliseconds(200);
  Duration maxDelay = std::chrono::seconds(10);
};

/**
 * Delays between the attempts of one task: they double up to the maximum, and each is drawn from
 * the upper half of its range ("equal jitter"), so that clients that failed together do not retry
 * together.
 */
class BackOff {
 public:
  /** @param random borrowed; must outlive the backoff. */
  BackOff(BackOffOptions options, RandomSource& random);

  /**
   * @param retryAfter delay requested by the server; the returned delay is never shorter.
   * @return the delay before the next attempt.
   */
  Duration next(std::optional<Duration> retryAfter = std::nullopt);
  /** Resets the delay to its initial value after a successful attempt. */
  void reset() { current_ = options_.initialDelay; }

 private:
  const BackOffOptions options_;
  RandomSource& random_;
  Duration current_;
};

/** Parameters of a retry budget. */
struct RetryBudgetOptions {
  /** Maximum number of retries in a burst. */
  uint32_t burst = 10;
  /** Time after which one more retry is added to the budget. */
  Duration refill = std::chrono::seconds(2);
};

/** Token bucket that bounds the retries of all tasks together, however many of them fail. */
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  /** @return whether a retry is allowed now; if so, it is deducted from the budget. */
  bool tryTake(TimePoint now);
  /** @return the time until tryTake() succeeds; 0 if it would succeed now. */
  Duration waitTime(TimePoint now);

 private:
  void refill(TimePoint now);

  const RetryBudgetOptions options_;
  uint32_t tokens_;
  /** Time up to which refills were added. */
  std::optional<TimePoint> refilledAt_;
};

}  // namespace umberhold
