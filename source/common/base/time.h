/** @file Injected time. Decision logic never reads a clock; the caller passes the current time. */
#pragma once

#include <chrono>
#include <cstdint>

namespace umberhold {

/** Duration in microseconds, the resolution used throughout. */
using Duration = std::chrono::microseconds;

/** A monotonic clock without now(): its time points are only passed as arguments. */
struct MonotonicClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

/** A time of this process's monotonic clock; not comparable between processes. */
using TimePoint = MonotonicClock::time_point;

/** Seconds since the Unix epoch, for deadlines that operators set. */
using UnixSeconds = int64_t;

/** @return the whole milliseconds from one time to a later one. */
inline int64_t millisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

}  // namespace umberhold
