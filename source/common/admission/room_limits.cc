#include "common/admission/room_limits.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** On the way between callers, nodes and hosts, and in the node's own queue of packets. */
constexpr Duration kOnTheWay = std::chrono::milliseconds(20);
/** Part of the time that is left in which openings keep their order: what has waited for longer
 * lets fresh ones pass, which then have most of their time for the host and for another try. */
constexpr int kOrderlyPart = 4;
/** More would be no limit. */
constexpr double kMostOpenings = 1e6;

}  // namespace

double requestsPerSlot(const RoomLimits& limits, Duration targetLatency, Duration work) {
  if (limits.hostTimePart <= 0.0 || targetLatency == Duration{0} || work <= Duration{0}) {
    return 0.0;
  }
  const auto target = static_cast<double>(targetLatency.count());
  const double atHost = limits.hostTimePart * target - static_cast<double>(kOnTheWay.count());
  return std::max(1.0, atHost / static_cast<double>(work.count()));
}

uint32_t yieldingOpenings(const RoomUse& use) {
  const double left = std::floor(use.room.own() - use.onOpenFlows);
  return static_cast<uint32_t>(std::clamp(left, 1.0, kMostOpenings));
}

Duration orderlyWaitOf(Duration targetLatency, Duration atHosts) {
  return std::max(Duration{0}, (targetLatency - atHosts - kOnTheWay) / kOrderlyPart);
}

}  // namespace umberhold
