/**
 * @file A loop based on poll(2) that wakes up only for readable descriptors and timers.
 *
 * For processes in which each wake-up is costly. event_loop.h is the loop of nodes with ticks.
 */
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "common/base/time.h"

namespace umberhold {

/** Not thread safe: all functions and handlers run on the thread of run(). */
class PollLoop {
 public:
  using Handler = std::function<void()>;

  /** Calls the handler whenever the descriptor is readable or has an error; replaces an earlier
   * handler. */
  void watch(int descriptor, Handler onReadable);
  /** Stops watching the descriptor. May be called from any handler, including its own. */
  void unwatch(int descriptor);
  /** Calls the handler once, at the given time or later. */
  void at(TimePoint when, Handler handler);
  /** Runs until a handler calls stop(). */
  void run();
  void stop() { stopped_ = true; }

 private:
  void wait();
  void runDue();

  std::map<int, Handler> handlers_;
  std::multimap<TimePoint, Handler> timers_;
  std::vector<pollfd> descriptors_;
  bool changed_ = true;
  bool stopped_ = false;
};

}  // namespace umberhold
