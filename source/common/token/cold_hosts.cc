#include "common/token/cold_hosts.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** Fractions of a cold host's limit that new flows may use. */
constexpr double kOwnZoneFraction = 0.3;
constexpr double kOtherZonesFraction = 0.05;
constexpr Duration kSpreadInterval = std::chrono::seconds(1);
/**
 * Minimum number of nodes per zone assumed by the calculation, because a newly started node may not
 * have a complete member list yet.
 */
constexpr uint32_t kMinNodes = 8;

}  // namespace

void ColdAllotment::begin(TimePoint now, Duration remaining, double flows, RandomSource& random) {
  if (isCold(now)) {
    coldUntil_ = std::max(coldUntil_, now + remaining);
    return;
  }
  coldUntil_ = now + remaining;
  const double whole = std::floor(flows);
  remainingFlows_ = static_cast<uint32_t>(whole) + (random.unit() < flows - whole ? 1 : 0);
  flowInterval_ = remainingFlows_ == 0 ? kSpreadInterval : kSpreadInterval / remainingFlows_;
  nextFlowAt_ = now + Duration{static_cast<Duration::rep>(
                          static_cast<double>(flowInterval_.count()) * random.unit())};
}

void ColdAllotment::onPlaced(TimePoint now) {
  if (!isCold(now)) {
    return;
  }
  remainingFlows_ -= std::min<uint32_t>(remainingFlows_, 1);
  nextFlowAt_ = now + flowInterval_;
}

double coldFlowsPerNode(const ColdHostOptions& options, const ColdLimit& limit,
                        const SendingNodes& nodes, bool ownZone) {
  const double hostLimit = limit.requestsPerSecond * options.rateFactor + options.rateAllowance;
  const double nodesInZone = std::max(nodes.nodesInZone, kMinNodes);
  if (ownZone) {
    return kOwnZoneFraction * hostLimit / nodesInZone;
  }
  const double otherZones = std::max<uint32_t>(nodes.zones, 2) - 1;
  return kOtherZonesFraction * hostLimit / (nodesInZone * otherZones);
}

}  // namespace umberhold
