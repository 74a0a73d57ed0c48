/**
 * @file Schedules the first list of a collection and detects when it is lost.
 *
 * A list is the largest response of the store. If hundreds of nodes that start together requested
 * it, they would saturate the store's link (985 lists of 10,000 hosts: 2.4 GB, 20 s of 1,000
 * Mbit/s). A first list therefore waits for a peer that may supply the same data, as long as that
 * peer makes progress. If no peer does, few nodes list first, and increasingly more later
 * (ReaderRoster::fallbackStep()). A list request may never be answered: a store that was
 * unresponsive when it received the request stays silent on that connection. This shows when a
 * probe sent later is answered. Pure decision logic without I/O.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** Timing of the first list. */
struct FirstListOptions {
  /**
   * Time that peers are given to supply the data, counted from the start, from the recovery of an
   * unresponsive store, or from a peer's latest progress; extended by the same time for each
   * fallback step.
   */
  Duration peerWait = std::chrono::milliseconds(500);
  /**
   * A list that is pending for longer counts as lost once a later probe is answered. The time
   * doubles with each list that is given up, so that a list that is merely slow eventually
   * completes.
   */
  Duration lostAfter = std::chrono::milliseconds(400);
  /**
   * Minimum time between lists while probes are unanswered: a store that exceeds the probes'
   * timeout may still answer a list.
   */
  Duration retryWhileUnresponsive = std::chrono::seconds(2);
  /**
   * Maximum total time that peers are given, whatever their progress: half of the shortest time
   * within which deployments must serve again after losing all machines (12 s).
   */
  Duration maxPeerWait = std::chrono::seconds(6);
};

/** Schedule of one collection's first list. Not thread safe. */
class FirstList {
 public:
  FirstList(TimePoint now, FirstListOptions options)
      : options_(options),
        startedAt_(now),
        earliestRequestAt_(now + options.peerWait),
        lostAfter_(options.lostAfter) {}

  /** Sets the fallback step of this node: see ReaderRoster::fallbackStep(). */
  void setFallbackStep(uint32_t step) {
    earliestRequestAt_ += (static_cast<int32_t>(step) - fallbackStep_) * options_.peerWait;
    fallbackStep_ = static_cast<int32_t>(step);
  }
  /** Reports that a peer made progress with data that it will pass on. */
  void onPeerProgress(TimePoint now) {
    const TimePoint latest = startedAt_ + options_.maxPeerWait;
    earliestRequestAt_ = std::max(earliestRequestAt_, std::min(now + peerWait(), latest));
  }
  /** @return the earliest time at which the list may be requested. */
  TimePoint earliestRequestAt() const { return earliestRequestAt_; }
  /**
   * @return the earliest time at which the list may be requested while probes are unanswered.
   * @param first earliest time of the first request.
   */
  TimePoint earliestRequestWhileUnresponsive(TimePoint first) const {
    return lastRequestedAt_ ? std::max(first, *lastRequestedAt_ + options_.retryWhileUnresponsive)
                            : first;
  }
  /** Reports that the list was requested. */
  void onRequested(TimePoint now) {
    requestedAt_ = now;
    lastRequestedAt_ = now;
  }
  bool isInProgress() const { return requestedAt_.has_value(); }
  /** Reports that the list was answered or failed. */
  void onEnded() { requestedAt_.reset(); }
  /** Reports that an unresponsive store answers again: peers can be supplied, too. */
  void onStoreRecovered(TimePoint now) {
    startedAt_ = now;
    earliestRequestAt_ = now + peerWait();
  }

  /**
   * Reports that a probe was answered.
   * @param sentAt when the probe was sent.
   * @return whether the list in progress must be given up.
   */
  bool isLost(TimePoint sentAt) {
    if (!requestedAt_ || sentAt - *requestedAt_ < lostAfter_) {
      return false;
    }
    lostAfter_ *= 2;
    return true;
  }

 private:
  Duration peerWait() const { return (1 + fallbackStep_) * options_.peerWait; }

  const FirstListOptions options_;
  int32_t fallbackStep_ = 0;
  /** Time of the start or of the store's recovery. */
  TimePoint startedAt_;
  TimePoint earliestRequestAt_;
  Duration lostAfter_;
  /** When the list in progress was requested. */
  std::optional<TimePoint> requestedAt_;
  std::optional<TimePoint> lastRequestedAt_;
};

}  // namespace umberhold
