/**
 * @file Detects whether the store is responsive, by small dedicated probes.
 *
 * A pending watch receives nothing for many seconds, both when nothing changes and when its answer
 * is lost: a store that becomes unresponsive keeps its connections open and never answers the
 * requests that it received in that time. Small probes at a short interval detect this; once they
 * are answered again, every pending call must be repeated. Pure decision logic without I/O.
 */
#pragma once

#include <cstdint>

#include "common/base/random.h"
#include "common/base/time.h"

namespace umberhold {

/** Timing of the probes. */
struct StoreLivenessOptions {
  /** From the start to the first probe: longer than a healthy store takes for a list. */
  Duration first = std::chrono::milliseconds(300);
  /**
   * Interval between probes that are answered: with jitter, at least one probe is sent in any
   * unresponsive period of one second.
   */
  Duration interval = std::chrono::milliseconds(800);
  /**
   * Interval while other nodes rely on this node's reads: each answered probe confirms their state.
   */
  Duration servingInterval = std::chrono::milliseconds(500);
  /**
   * Interval after an unanswered probe. It triples after each further one, unless other nodes rely
   * on this node's reads.
   */
  Duration intervalAfterMiss = std::chrono::milliseconds(300);
  Duration maxIntervalAfterMiss = std::chrono::milliseconds(1200);
  /** Interval after an unanswered probe while other nodes rely on this node's reads. */
  Duration servingIntervalAfterMiss = std::chrono::milliseconds(500);
  /**
   * Intervals after an unanswered probe while the process holds no data yet, so that it cannot
   * serve before the store recovers: for the first probes, and the maximum.
   */
  Duration startingIntervalAfterMiss = std::chrono::milliseconds(100);
  Duration maxStartingInterval = std::chrono::milliseconds(250);
  /** Fraction by which intervals vary, so that nodes that started together do not synchronize. */
  double jitter = 0.2;
};

/** What the result of a probe means for pending calls. */
enum class WaitingCalls : uint8_t {
  /** Pending calls may continue to wait. */
  kKeep,
  /** Pending calls may never be answered: they must be ended and repeated. */
  kRenew,
};

/** Schedules probes and tracks whether the store answers. Not thread safe. */
class StoreLiveness {
 public:
  /** @param random borrowed; must outlive this object. */
  StoreLiveness(TimePoint now, StoreLivenessOptions options, RandomSource& random);

  /** @return the time of the next probe. */
  TimePoint nextProbe() const { return nextProbe_; }
  /**
   * Restarts probing when calls are pending again after a time without any: the state of the store
   * is unknown, and a probe is due soon.
   */
  void resume(TimePoint now);
  /** Sets whether other nodes rely on this node's reads. */
  void setServing(bool serving) { serving_ = serving; }
  /**
   * Sets whether a reader notifies this node when the store recovers: frequent probes are then
   * unnecessary.
   */
  void setFollowing(bool following) { following_ = following; }
  /** Sets whether the process holds no data yet. */
  void setStarting(bool starting) { starting_ = starting; }
  /**
   * Schedules a probe soon, because pending calls need the confirmation that an answered probe
   * gives.
   */
  void probeSoon(TimePoint now);
  /**
   * Reports the end of a probe. @param answered whether it was answered as a healthy store does.
   */
  WaitingCalls onProbe(TimePoint now, bool answered);
  /** @return whether the last probe was unanswered. */
  bool isUnresponsive() const { return unresponsive_; }

 private:
  /** @return the delay after an unanswered probe. */
  Duration nextDelayAfterMiss();

  const StoreLivenessOptions options_;
  RandomSource& random_;
  TimePoint nextProbe_;
  bool unresponsive_ = false;
  /** Delay after the next unanswered probe. */
  Duration delayAfterMiss_;
  /** Consecutive unanswered probes while starting. */
  uint32_t startingMisses_ = 0;
  bool serving_ = false;
  bool starting_ = false;
  bool following_ = false;
};

}  // namespace umberhold
