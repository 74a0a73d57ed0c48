/**
 * @file Estimates the processing time of a request at its host from the packets of callers.
 *
 * The response time of a request includes the network delay. The opening of a flow passes the same
 * network without any processing, so the time until the caller continues the flow is the network's
 * part of every response time.
 */
#pragma once

#include <optional>

#include "common/base/time.h"
#include "common/speed/running_median.h"

namespace umberhold {

/** Added to each time before times are compared by score (UsualResponseTime). */
constexpr double kScoreSlackMilliseconds = 20.0;

/** Processing times of one service. Bounded state, no I/O. Not thread safe. */
class WorkTimes {
 public:
  /** Records the time from an opening until its caller continued the flow. */
  void onOpened(TimePoint now, Duration roundTrip);
  /** @param response the complete response time of a request. */
  void add(TimePoint now, Duration response);
  /**
   * @return the processing time as a multiple of the service's usual one, clamped to kMinWorkRatio
   * and kMaxWorkRatio; nothing until there are enough samples.
   */
  std::optional<double> ratioOf(Duration response) const;
  /**
   * @param speed the speed of a host; see HostSpeed.
   * @return the expected complete response time of the host as a multiple of that of a host with
   * speed 1; 1 until there are enough samples. Response time scores are divided by it, so that a
   * permanently slow host is not treated as one that has become slow.
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

/**
 * Limits the influence of a single request: 3 of 100 requests that take seven times as long shift
 * the mean logarithm by 0.04 instead of 0.06, and even longer ones have no larger effect.
 */
constexpr double kMaxWorkRatio = 4.0;
constexpr double kMinWorkRatio = 1.0 / kMaxWorkRatio;
/**
 * Ratio recorded for an overdue request; beyond this limit, its time contains no further
 * information about the speed of the host.
 */
constexpr double kOverdueWorkRatio = kMaxWorkRatio;

}  // namespace umberhold
