/** @file Deadlines and retry limits of changes. */
#pragma once

#include <optional>

#include "common/base/time.h"
#include "common/platform/retry.h"

namespace umberhold {

/** Deadline, backoff and retry budget of the coordinator. */
struct ChangeLimits {
  /** From the call to its result; the last call to the store may exceed it. */
  Duration deadline = std::chrono::seconds(8);
  BackOffOptions backOff{std::chrono::milliseconds(50), std::chrono::seconds(1)};
  /** Shared by all changes, so that more changes cause no more calls to an unavailable store. */
  RetryBudgetOptions retries{20, std::chrono::milliseconds(250)};
};

/** Limits the rate of retries over all changes of a node. Thread safe. */
class RetryPacing {
 public:
  virtual ~RetryPacing() = default;
  /** Takes a retry from the budget. @return nothing, or the time to wait if it is exhausted. */
  virtual std::optional<Duration> takeRetry() = 0;
};

}  // namespace umberhold
