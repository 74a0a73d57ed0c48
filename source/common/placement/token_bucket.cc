#include "common/placement/token_bucket.h"

#include <algorithm>

namespace umberhold {

TokenBucket::TokenBucket(TokenBucketOptions options) : options_(options), tokens_(options.burst) {}

double TokenBucket::fill(TimePoint now) {
  refill(now);
  return std::max(0.0, tokens_) / options_.burst;
}

void TokenBucket::spend(TimePoint now) {
  refill(now);
  tokens_ = std::max(tokens_ - 1.0, -options_.burst);
}

bool TokenBucket::available(TimePoint now) {
  refill(now);
  return tokens_ >= 1.0;
}

void TokenBucket::refill(TimePoint now) {
  if (started_ && now > last_) {
    const std::chrono::duration<double> elapsed = now - last_;
    tokens_ = std::min(options_.burst, tokens_ + elapsed.count() * options_.perSecond);
  }
  if (!started_ || now > last_) {
    last_ = now;
    started_ = true;
  }
}

}  // namespace umberhold
