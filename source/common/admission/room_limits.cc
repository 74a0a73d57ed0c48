#include "common/admission/room_limits.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** Transit time between callers, nodes and hosts, including the node's own packet queue. */
constexpr Duration kTransitTime = std::chrono::milliseconds(20);
/** Openings are released in FIFO order during 1/kFifoDivisor of the target latency that is left
 * after the time at hosts and in transit. After that, newer openings go first; they then have most
 * of their time left for the host and for another attempt. */
constexpr int kFifoDivisor = 4;
/** Upper bound of yieldingOpenings(), in effect no limit. */
constexpr double kMaxOpenings = 1e6;

}  // namespace

double requestsPerSlot(const RoomLimits& limits, Duration targetLatency, Duration serviceTime) {
  if (limits.hostTimePart <= 0.0 || targetLatency == Duration{0} || serviceTime <= Duration{0}) {
    return 0.0;
  }
  const auto target = static_cast<double>(targetLatency.count());
  const double atHost = limits.hostTimePart * target - static_cast<double>(kTransitTime.count());
  return std::max(1.0, atHost / static_cast<double>(serviceTime.count()));
}

uint32_t yieldingOpenings(const RoomUse& use) {
  const double left = std::floor(use.room.own() - use.onOpenFlows);
  return static_cast<uint32_t>(std::clamp(left, 1.0, kMaxOpenings));
}

Duration fifoWaitOf(Duration targetLatency, Duration atHosts) {
  return std::max(Duration{0}, (targetLatency - atHosts - kTransitTime) / kFifoDivisor);
}

}  // namespace umberhold
