/**
 * @file What of a request's time its host worked on it, as far as the packets of callers tell.
 *
 * A request's time holds the network's as well. An opening passes the same network without any
 * work, so the time until its caller goes on is what the network takes of every request's time.
 */
#pragma once

#include <optional>

#include "common/base/time.h"
#include "common/speed/running_median.h"

namespace umberhold {

/** Is added to every time before times are compared by score (UsualResponseTime). */
constexpr double kScoreSlackMilliseconds = 20.0;

/** Of one service. Bounded state, no I/O. Not thread safe. */
class WorkTimes {
 public:
  /** A caller continued its flow so long after the opening. */
  void onOpened(TimePoint now, Duration roundTrip);
  /** @param response a request's whole time. */
  void add(TimePoint now, Duration response);
  /** @return the time that the host worked, as a multiple of the service's usual one, within
   * kMinWorkRatio and kMaxWorkRatio; nothing before enough is known. */
  std::optional<double> ratioOf(Duration response) const;
  /**
   * @param speed of a host; see HostSpeed.
   * @return its usual whole time, as a multiple of that of a host of speed 1; 1 before enough is
   * known. Scores of times are divided by it, so that a host which is slow every day is not
   * counted as one that has turned slow.
   */
  double expectedRatio(double speed) const;

 private:
  bool isKnown() const;
  /** @return milliseconds. */
  double workOf(Duration response) const;
  double network() const;

  /** Natural logarithms of milliseconds. */
  RunningMedian network_;
  RunningMedian work_;
};

/** One request moves what is known of a host by no more: 3 of 100 that take seven times as long
 * shift a mean of logarithms by 0.04 then, not by 0.06, and the longest don't count for more. */
constexpr double kMaxWorkRatio = 4.0;
constexpr double kMinWorkRatio = 1.0 / kMaxWorkRatio;
/** What takes a host so much longer than usual tells nothing of its speed beyond that: the wait of
 * an overdue request. */
constexpr double kOverdueWorkRatio = kMaxWorkRatio;

}  // namespace umberhold
