/**
 * @file When the first list of a collection is asked for, and when it counts as lost.
 *
 * A list is the largest answer that the store gives. Hundreds of nodes that start together would
 * fill its link with them (985 lists of 10,000 hosts: 2.4 GB, 20 s of 1,000 Mbit/s), so a first
 * list waits for a peer that may tell the same, for as long as the peer gets on. Where none does,
 * few nodes list first, and ever more later (ReaderRoster::fallbackStep()). Once asked for, it may
 * never be answered: a store that was silent when it was asked stays silent on that connection. A
 * probe that was sent later and answered shows it. Decision logic without I/O.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** Periods of the rules. */
struct FirstListOptions {
  /** How long peers are given, from the start, from the return of a store that was silent, or since
   * a peer last got on; for a node that comes later than others that much longer each step. */
  Duration peerWait = std::chrono::milliseconds(500);
  /**
   * A list that waits longer counts as lost once a later probe is answered. It doubles with each
   * list that is given up, so that one which is only slow to arrive ends in time.
   */
  Duration lostAfter = std::chrono::milliseconds(400);
  /** While probes go unanswered: a store that is slower than their limit still answers a list. */
  Duration retryWhileUnresponsive = std::chrono::seconds(2);
  /** Peers are given no longer in all, however they get on: half of the shortest time (12 s) in
   * which deployments have to serve again after all machines were lost. */
  Duration maxPeerWait = std::chrono::seconds(6);
};

/** One collection's first list. Not thread safe. */
class FirstList {
 public:
  FirstList(TimePoint now, FirstListOptions options)
      : options_(options),
        began_(now),
        opensAt_(now + options.peerWait),
        lostAfter_(options.lostAfter) {}

  /** Nodes that may take the readers' place before this one: see ReaderRoster::fallbackStep(). */
  void setFallbackStep(uint32_t step) {
    opensAt_ += (static_cast<int32_t>(step) - step_) * options_.peerWait;
    step_ = static_cast<int32_t>(step);
  }
  /** A peer gets what it will pass on. */
  void onPeerProgress(TimePoint now) {
    const TimePoint latest = began_ + options_.maxPeerWait;
    opensAt_ = std::max(opensAt_, std::min(now + peerWait(), latest));
  }
  /** @return when the list may be asked for at the earliest. */
  TimePoint earliestRequestAt() const { return opensAt_; }
  /** @return when it may be asked for while probes go unanswered. @param first time it may be. */
  TimePoint earliestRequestWhileUnresponsive(TimePoint first) const {
    return lastAskedAt_ ? std::max(first, *lastAskedAt_ + options_.retryWhileUnresponsive) : first;
  }
  /** The list was asked for. */
  void onRequested(TimePoint now) {
    askedAt_ = now;
    lastAskedAt_ = now;
  }
  bool isInProgress() const { return askedAt_.has_value(); }
  /** An answer came, or the call failed. */
  void onEnded() { askedAt_.reset(); }
  /** The store was silent and answers again: peers can be given something, too. */
  void onStoreRecovered(TimePoint now) {
    began_ = now;
    opensAt_ = now + peerWait();
  }

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
  Duration peerWait() const { return (1 + step_) * options_.peerWait; }

  const FirstListOptions options_;
  int32_t step_ = 0;
  /** The start, or the store's return. */
  TimePoint began_;
  TimePoint opensAt_;
  Duration lostAfter_;
  /** When the list under way was asked for. */
  std::optional<TimePoint> askedAt_;
  std::optional<TimePoint> lastAskedAt_;
};

}  // namespace umberhold
