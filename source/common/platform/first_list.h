/**
 * @file When the first list of a collection is asked for, and when it counts as lost.
 *
 * A list is the largest answer that the store gives. Hundreds of nodes that start together would
 * fill its link with them, so a first list waits a moment for a peer that may tell the same. Once
 * asked for, it may never be answered: a store that was silent when it was asked stays silent on
 * that connection. A probe that was sent later and answered shows it. Decision logic without I/O.
 */
#pragma once

#include <algorithm>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** Periods of the rules. */
struct FirstListOptions {
  /** How long peers are given, from the start or from the return of a store that was silent. */
  Duration patience = std::chrono::milliseconds(500);
  /**
   * A list that waits longer counts as lost once a later probe is answered. It doubles with each
   * list that is given up, so that one which is only slow to arrive ends in time.
   */
  Duration lostAfter = std::chrono::milliseconds(400);
  /** While probes go unanswered: a store that is slower than their limit still answers a list. */
  Duration retryInSilence = std::chrono::seconds(2);
};

/** One collection's first list. Not thread safe. */
class FirstList {
 public:
  FirstList(TimePoint now, FirstListOptions options)
      : options_(options), opensAt_(now + options.patience), lostAfter_(options.lostAfter) {}

  /** @return when the list may be asked for at the earliest. */
  TimePoint opensAt() const { return opensAt_; }
  /** @return when it may be asked for while probes go unanswered. @param first time it may be. */
  TimePoint opensInSilence(TimePoint first) const {
    return lastAskedAt_ ? std::max(first, *lastAskedAt_ + options_.retryInSilence) : first;
  }
  /** The list was asked for. */
  void onAsked(TimePoint now) {
    askedAt_ = now;
    lastAskedAt_ = now;
  }
  bool isUnderWay() const { return askedAt_.has_value(); }
  /** An answer came, or the call failed. */
  void onEnded() { askedAt_.reset(); }
  /** The store was silent and answers again: peers can be given something, too. */
  void onStoreReturned(TimePoint now) { opensAt_ = now + options_.patience; }

  /**
   * A probe was answered.
   * @param sentAt when it was sent.
   * @return whether the list under way is to be given up.
   */
  bool isLost(TimePoint sentAt) {
    if (!askedAt_ || sentAt - *askedAt_ < lostAfter_) {
      return false;
    }
    lostAfter_ *= 2;
    return true;
  }

 private:
  const FirstListOptions options_;
  TimePoint opensAt_;
  Duration lostAfter_;
  /** When the list under way was asked for. */
  std::optional<TimePoint> askedAt_;
  std::optional<TimePoint> lastAskedAt_;
};

}  // namespace umberhold
