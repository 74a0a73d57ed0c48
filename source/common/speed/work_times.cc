#include "common/speed/work_times.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

constexpr uint32_t kMinOpenings = 5;
constexpr uint32_t kMinRequests = 16;
/** Milliseconds; shorter times are indistinguishable from network delay. */
constexpr double kMinWorkMilliseconds = 1.0;

double millisecondsOf(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void WorkTimes::onOpened(TimePoint now, Duration roundTrip) {
  network_.add(now, std::log(std::max(millisecondsOf(roundTrip), kMinWorkMilliseconds)));
}

void WorkTimes::add(TimePoint now, Duration response) {
  if (network_.samples() >= kMinOpenings) {
    work_.add(now, std::log(workOf(response)));
  }
}

std::optional<double> WorkTimes::ratioOf(Duration response) const {
  if (!isKnown()) {
    return std::nullopt;
  }
  return std::clamp(workOf(response) / std::exp(work_.value()), kMinWorkRatio, kMaxWorkRatio);
}

double WorkTimes::expectedRatio(double speed) const {
  if (!isKnown()) {
    return 1.0;
  }
  const double constant = network() + kScoreSlackMilliseconds;
  const double work = std::exp(work_.value());
  return (constant + work / speed) / (constant + work);
}

bool WorkTimes::isKnown() const {
  return work_.samples() >= kMinRequests;
}

double WorkTimes::workOf(Duration response) const {
  return std::max(millisecondsOf(response) - network(), kMinWorkMilliseconds);
}

double WorkTimes::network() const {
  return std::exp(network_.value());
}

}  // namespace umberhold
