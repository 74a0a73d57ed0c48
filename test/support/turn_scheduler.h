/**
 * @file Schedules blocking writers deterministically, one at a time, in an order chosen by the
 * test: each runs until its next yield point (a store call or a sleep).
 */
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "common/admin/call_clock.h"

namespace umberhold {

/** Deterministic for a given choice. The clock advances only while all writers sleep. */
class TurnScheduler {
 public:
  /** Runs all bodies to completion. @param choose returns an index below the given number of
   * runnable writers. */
  void run(const std::vector<std::function<void()>>& bodies,
           const std::function<size_t(size_t)>& choose);

  /** Called by a writer: lets others run before it continues. No effect outside run(). */
  void yield() { sleepUntil(now_); }
  /** Called by a writer: suspends it until the instant. Outside run() only advances the clock. */
  void sleepUntil(TimePoint instant);
  TimePoint now() const { return now_; }

 private:
  struct Writer {
    TimePoint wakeAt{};
    bool finished = false;
  };

  /** @return the indexes of the writers that have not finished and do not sleep. */
  std::vector<size_t> runnable() const;
  /** @return false if all writers have finished. */
  bool advanceClockToNextWake();
  /** Lets the writer run until its next yield point. */
  void runWriter(size_t writer);
  void waitForTurn(size_t writer);
  void finish(size_t writer);

  static constexpr size_t kNoWriter = SIZE_MAX;

  std::mutex mutex_;
  std::condition_variable runningChanged_;
  /** Index of the writer whose turn it is; kNoWriter while the scheduler chooses the next one. */
  size_t running_ = kNoWriter;
  std::vector<Writer> writers_;
  TimePoint now_{};
};

/** Adapts the scheduler's time for the code under test. */
class TurnClock : public CallClock {
 public:
  explicit TurnClock(TurnScheduler& scheduler) : scheduler_(scheduler) {}
  TimePoint now() override { return scheduler_.now(); }
  UnixSeconds unixNow() override { return kStart; }
  void sleepFor(Duration duration) override { scheduler_.sleepUntil(scheduler_.now() + duration); }

 private:
  static constexpr UnixSeconds kStart = 1'790'000'000;
  TurnScheduler& scheduler_;
};

}  // namespace umberhold
