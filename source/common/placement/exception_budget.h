/** @file The rate of exceptions that a node may make; see docs/DESIGN.md, "Placement". */
#pragma once

#include "common/placement/token_bucket.h"

namespace umberhold {

/**
 * An exception costs about 30 bytes of replication traffic, for adding and removing it. The byte
 * budget of replication (ByteBudgetOptions) limits a node that makes more exceptions than it can
 * replicate: its replica then lags, and a shard whose replica lags makes no exceptions.
 */
struct ExceptionBudgetOptions {
  /** Refill rate in exceptions per second. */
  double perSecond = 24.0;
  /** Size of the bucket in exceptions. */
  double burst = 48.0;
};

/** Shared by all services of a node. A forced exception (no other host is admissible) takes the
 * budget below zero. */
class ExceptionBudget : public TokenBucket {
 public:
  explicit ExceptionBudget(ExceptionBudgetOptions options = {})
      : TokenBucket({options.perSecond, options.burst}) {}
};

}  // namespace umberhold
