#include "test/support/turn_scheduler.h"

#include <algorithm>
#include <thread>

namespace umberhold {
namespace {

/** ownIndex of threads outside run(). */
constexpr size_t kNotAWriter = SIZE_MAX;
/** Index of the writer that the thread runs. */
thread_local size_t ownIndex = kNotAWriter;

}  // namespace

void TurnScheduler::run(const std::vector<std::function<void()>>& bodies,
                        const std::function<size_t(size_t)>& choose) {
  writers_.assign(bodies.size(), Writer{now_});
  std::vector<std::thread> threads;
  for (size_t index = 0; index < bodies.size(); ++index) {
    threads.emplace_back([this, index, &bodies] {
      ownIndex = index;
      waitForTurn(index);
      bodies[index]();
      finish(index);
    });
  }
  do {
    for (auto runnableWriters = runnable(); !runnableWriters.empty();
         runnableWriters = runnable()) {
      runWriter(runnableWriters[choose(runnableWriters.size()) % runnableWriters.size()]);
    }
  } while (advanceClockToNextWake());
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void TurnScheduler::sleepUntil(TimePoint instant) {
  if (ownIndex == kNotAWriter) {
    now_ = std::max(now_, instant);
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    writers_[ownIndex].wakeAt = instant;
    running_ = kNoWriter;
    runningChanged_.notify_all();
  }
  waitForTurn(ownIndex);
}

std::vector<size_t> TurnScheduler::runnable() const {
  std::vector<size_t> runnableWriters;
  for (size_t index = 0; index < writers_.size(); ++index) {
    if (!writers_[index].finished && writers_[index].wakeAt <= now_) {
      runnableWriters.push_back(index);
    }
  }
  return runnableWriters;
}

bool TurnScheduler::advanceClockToNextWake() {
  TimePoint next = TimePoint::max();
  for (const Writer& writer : writers_) {
    next = writer.finished ? next : std::min(next, writer.wakeAt);
  }
  if (next == TimePoint::max()) {
    return false;
  }
  now_ = next;
  return true;
}

void TurnScheduler::runWriter(size_t writer) {
  std::unique_lock lock(mutex_);
  running_ = writer;
  runningChanged_.notify_all();
  runningChanged_.wait(lock, [this] { return running_ == kNoWriter; });
}

void TurnScheduler::waitForTurn(size_t writer) {
  std::unique_lock lock(mutex_);
  runningChanged_.wait(lock, [this, writer] { return running_ == writer; });
}

void TurnScheduler::finish(size_t writer) {
  const std::lock_guard lock(mutex_);
  writers_[writer].finished = true;
  running_ = kNoWriter;
  runningChanged_.notify_all();
}

}  // namespace umberhold
