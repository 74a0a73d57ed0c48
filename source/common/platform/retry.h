/** @file Pacing of repeated calls: jittered exponential back-off and a retry budget. */
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/random.h"
#include "common/base/time.h"

namespace umberhold {

/** Shape of a back-off. */
struct BackOffOptions {
  Duration initialDelay = std::chrono::milliseconds(200);
  Duration maxDelay = std::chrono::seconds(10);
};

/**
 * Waits between the tries of one task: doubling up to the longest, each drawn from the upper half
 * of its range ("equal jitter"), so that callers that failed together don't come back together.
 */
class BackOff {
 public:
  /** @param random borrowed; must outlive the back-off. */
  BackOff(BackOffOptions options, RandomSource& random);

  /**
   * @param retryAfter what the server asked for; the wait is never shorter.
   * @return how long to wait before the next try.
   */
  Duration next(std::optional<Duration> retryAfter = std::nullopt);
  /** A try succeeded: the next failure starts again at the initial wait. */
  void reset() { current_ = options_.initialDelay; }

 private:
  const BackOffOptions options_;
  RandomSource& random_;
  Duration current_;
};

/** Shape of a retry budget. */
struct RetryBudgetOptions {
  /** Retries that may follow each other at once. */
  uint32_t burst = 10;
  /** Time in which one more retry is earned. */
  Duration refill = std::chrono::seconds(2);
};

/** Token bucket that bounds the retries of all tasks together, however many fail. */
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  /** @return whether a retry may be made now; takes it off the budget if so. */
  bool tryTake(TimePoint now);
  /** @return how long until tryTake succeeds; 0 if it would now. */
  Duration waitTime(TimePoint now);

 private:
  void refill(TimePoint now);

  const RetryBudgetOptions options_;
  uint32_t tokens_;
  /** Instant up to which refills are counted. */
  std::optional<TimePoint> counted_;
};

}  // namespace umberhold
