/** @file A token bucket: limits a mean rate and the size of bursts. */
#pragma once

#include "common/base/time.h"

namespace umberhold {

/** Rate and size of a bucket. */
struct TokenBucketOptions {
  /** Refill rate in tokens per second. */
  double perSecond = 1.0;
  /** Capacity in tokens. */
  double burst = 1.0;
};

/** Starts full. Not thread safe. */
class TokenBucket {
 public:
  explicit TokenBucket(TokenBucketOptions options);

  /** Refills the bucket. @return its fill level, 0.0 to 1.0. */
  double fill(TimePoint now);
  /** Takes one token. The bucket may go below zero, down to minus its capacity. */
  void spend(TimePoint now);
  /** @return whether at least one token is available. */
  bool available(TimePoint now);

 private:
  void refill(TimePoint now);

  TokenBucketOptions options_;
  double tokens_;
  TimePoint last_{};
  bool started_ = false;
};

}  // namespace umberhold
