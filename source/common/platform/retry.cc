#include "common/platform/retry.h"

#include <algorithm>

namespace umberhold {
namespace {

/**
 * Divisor of the random delay that is added to Retry-After, so that clients with the same
 * Retry-After do not retry together.
 */
constexpr int kRetryAfterSpread = 4;

Duration drawUpTo(Duration maxDelay, RandomSource& random) {
  return Duration(static_cast<Duration::rep>(
      random.below(static_cast<uint64_t>(std::max<Duration::rep>(maxDelay.count(), 0)) + 1)));
}

}  // namespace

BackOff::BackOff(BackOffOptions options, RandomSource& random)
    : options_(options), random_(random), current_(options.initialDelay) {}

Duration BackOff::next(std::optional<Duration> retryAfter) {
  const Duration half = current_ / 2;
  const Duration wait = half + drawUpTo(current_ - half, random_);
  current_ = std::min(current_ * 2, options_.maxDelay);
  if (!retryAfter) {
    return wait;
  }
  return std::max(wait, *retryAfter + drawUpTo(*retryAfter / kRetryAfterSpread, random_));
}

RetryBudget::RetryBudget(RetryBudgetOptions options) : options_(options), tokens_(options.burst) {}

bool RetryBudget::tryTake(TimePoint now) {
  refill(now);
  if (tokens_ == 0) {
    return false;
  }
  --tokens_;
  return true;
}

Duration RetryBudget::waitTime(TimePoint now) {
  refill(now);
  return tokens_ > 0 ? Duration{0} : *refilledAt_ + options_.refill - now;
}

void RetryBudget::refill(TimePoint now) {
  if (!refilledAt_ || tokens_ == options_.burst) {
    refilledAt_ = now;
    return;
  }
  const auto earned = std::max<Duration::rep>((now - *refilledAt_) / options_.refill, 0);
  tokens_ = static_cast<uint32_t>(
      std::min<Duration::rep>(options_.burst, static_cast<Duration::rep>(tokens_) + earned));
  *refilledAt_ += earned * options_.refill;
}

}  // namespace umberhold
