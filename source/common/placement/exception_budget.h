/** @file The exceptions that a node may make; see docs/DESIGN.md, "Placement". */
#pragma once

#include "common/placement/token_bucket.h"

namespace umberhold {

/**
 * An exception costs replication about 30 bytes, added and removed. The byte budget of replication
 * (ByteBudgetOptions) is what holds on a node that places more than it can pay for: the replica
 * then lags, and a shard whose replica lags makes no exceptions.
 */
struct ExceptionBudgetOptions {
  /** Exceptions refilled a second. */
  double perSecond = 24.0;
  /** Exceptions that a full bucket holds. */
  double burst = 48.0;
};

/** One for all services of a node; a forced exception (no other host is admissible) is a debt. */
class ExceptionBudget : public TokenBucket {
 public:
  explicit ExceptionBudget(ExceptionBudgetOptions options = {})
      : TokenBucket({options.perSecond, options.burst}) {}
};

}  // namespace umberhold
