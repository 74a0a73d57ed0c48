/**
 * @file Whether the store still answers, found out by small calls of its own.
 *
 * A waiting watch says nothing for many seconds, whether nothing changes or its answer is lost: a
 * store that falls silent keeps its connections, and never answers what it was asked meanwhile.
 * Small probes at a short interval notice the silence; once they are answered again, every call
 * that was waiting must be made again. Decision logic without I/O.
 */
#pragma once

#include <cstdint>

#include "common/base/random.h"
#include "common/base/time.h"

namespace umberhold {

/** Pace of the probes. */
struct StoreLivenessOptions {
  /** From the start to the first probe: longer than a list takes from a store that works. */
  Duration first = std::chrono::milliseconds(300);
  /** Between probes that are answered: with its jitter, one is sent in any silence of a second. */
  Duration interval = std::chrono::milliseconds(800);
  /** The same while other nodes rely on this one's reading: each probe confirms it to them. */
  Duration servingInterval = std::chrono::milliseconds(500);
  /** After a probe without an answer. Three times as long after each further one, unless other
   * nodes rely on this one's reading. */
  Duration intervalAfterMiss = std::chrono::milliseconds(300);
  Duration maxIntervalAfterMiss = std::chrono::milliseconds(1200);
  /** The same while other nodes rely on this one's reading. */
  Duration servingIntervalAfterMiss = std::chrono::milliseconds(500);
  /** The same while the process knows nothing yet, so that it can't serve before the store is back:
   * for the first ones, and the longest. */
  Duration startingIntervalAfterMiss = std::chrono::milliseconds(100);
  Duration maxStartingInterval = std::chrono::milliseconds(250);
  /** Intervals vary by up to this part, so that nodes that started together don't gather. */
  double jitter = 0.2;
};

/** What a probe's end means for calls that wait. */
enum class WaitingCalls : uint8_t {
  /** They may go on waiting. */
  kKeep,
  /** They may never be answered: end them and make them again. */
  kRenew,
};

/** Not thread safe. */
class StoreLiveness {
 public:
  /** @param random borrowed; must outlive it. */
  StoreLiveness(TimePoint now, StoreLivenessOptions options, RandomSource& random);

  /** @return when to probe next. */
  TimePoint nextProbe() const { return nextProbe_; }
  /** Calls begin to wait after a time without any: nothing is known, and a probe is due soon. */
  void resume(TimePoint now);
  /** Whether other nodes rely on this one's reading. */
  void setServing(bool serving) { serving_ = serving; }
  /** Whether this node hears from a reader that the store is back: it needs no hurry itself. */
  void setFollowing(bool following) { following_ = following; }
  /** Whether the process knows nothing yet. */
  void setStarting(bool starting) { starting_ = starting; }
  /** Calls wait that a probe can vouch for: others wait for that. */
  void probeSoon(TimePoint now);
  /** A probe ended. @param answered whether with an answer that a healthy store gives. */
  WaitingCalls onProbe(TimePoint now, bool answered);
  /** @return whether the last probe had no answer. */
  bool isUnresponsive() const { return silent_; }

 private:
  /** @return how long to wait after a probe without an answer. */
  Duration pauseAfterMiss();

  const StoreLivenessOptions options_;
  RandomSource& random_;
  TimePoint nextProbe_;
  bool silent_ = false;
  /** How long to wait after the next miss. */
  Duration afterMiss_;
  /** Misses in a row while starting. */
  uint32_t startingMisses_ = 0;
  bool serving_ = false;
  bool starting_ = false;
  bool following_ = false;
};

}  // namespace umberhold
