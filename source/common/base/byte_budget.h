/** @file Token bucket of bytes for one kind of traffic of a node. */
#pragma once

#include <algorithm>

#include "common/base/time.h"

namespace umberhold {

/** Refill rate and capacity of a byte budget. */
struct ByteBudgetOptions {
  double bytesPerSecond = 600.0;
  double burstBytes = 3000.0;
};

/** Token bucket that counts bytes. Not thread safe. */
class ByteBudget {
 public:
  explicit ByteBudget(ByteBudgetOptions options) : options_(options), tokens_(options.burstBytes) {}

  /** Consumes the bytes if enough tokens are left; @return whether it did. */
  bool tryConsume(TimePoint now, double bytes) {
    refill(now);
    if (tokens_ < bytes) {
      return false;
    }
    tokens_ -= bytes;
    return true;
  }

  /** Consumes the bytes in any case; the balance may become negative until the next refills. */
  void consume(TimePoint now, double bytes) {
    refill(now);
    tokens_ -= bytes;
  }

  /** @return whether at least half of the burst is left, so that callers need not save bytes. */
  bool isAtLeastHalfFull(TimePoint now) {
    refill(now);
    return tokens_ >= options_.burstBytes / 2;
  }

  /** @return whether the balance is positive. */
  bool hasTokens(TimePoint now) {
    refill(now);
    return tokens_ > 0.0;
  }

 private:
  void refill(TimePoint now) {
    if (started_ && now > last_) {
      const double seconds = std::chrono::duration<double>(now - last_).count();
      tokens_ = std::min(options_.burstBytes, tokens_ + seconds * options_.bytesPerSecond);
    }
    started_ = true;
    last_ = std::max(last_, now);
  }

  ByteBudgetOptions options_;
  double tokens_;
  TimePoint last_{};
  bool started_ = false;
};

}  // namespace umberhold
