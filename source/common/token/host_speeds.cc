#include "common/token/host_speeds.h"

#include <algorithm>

#include "common/speed/work_times.h"

namespace umberhold {
namespace {

/**
 * Speeds identify a host only by its token, and measurements of its previous generation persist in
 * the zone: 24 nodes with 6 samples each and a half-life of 8 s decay to 6 samples, the minimum for
 * an estimate (SpeedLearner), within 37 s (calculated).
 */
constexpr Duration kSpeedRetention = std::chrono::seconds(40);
/**
 * A low speed ends above this value (hysteresis), because estimates fluctuate by a fifth without a
 * cause.
 */
constexpr double kSlowSpeedExit = 0.65;
constexpr double kPercent = 100.0;

}  // namespace

void HostSpeeds::apply(TimePoint now, const std::vector<LearnedSpeed>& speeds) {
  for (const LearnedSpeed& learned : speeds) {
    TokenHost* host = hosts_.find(learned.token);
    if (host != nullptr && learned.percentOfUsual > 0 &&
        host->isCurrentGenerationAt(now - kSpeedRetention)) {
      const double reported = learned.percentOfUsual / kPercent;
      const HostSpeed speed{std::clamp(reported, kMinWorkRatio, kMaxWorkRatio),
                            static_cast<double>(learned.samples)};
      host->speed.update(now, speed);
      updateLow(*host, speed.speed);
    }
  }
}

void HostSpeeds::updateLow(TokenHost& host, double speed) {
  const bool low = speed < (host.speedIsLow ? kSlowSpeedExit : kSlowSpeed);
  if (low != host.speedIsLow) {
    host.speedIsLow = low;
    changes_.push_back({host.pool, host.spec.name, low, speed});
  }
}

SpeedSummary HostSpeeds::summary(TimePoint now) const {
  SpeedSummary summary;
  hosts_.forEachPool([&](const TokenPool& pool) {
    for (const TokenHost* host : pool.hosts) {
      const HostSpeed speed = host->speed.value(now);
      if (host->listed && speed.samples > 0.0) {
        summary.lowest = summary.known == 0 ? speed.speed : std::min(summary.lowest, speed.speed);
        summary.highest = summary.known == 0 ? speed.speed : std::max(summary.highest, speed.speed);
        ++summary.known;
        summary.slow += speed.speed < kSlowSpeed ? 1 : 0;
      }
    }
  });
  return summary;
}

}  // namespace umberhold
