#include "common/token/cold_hosts.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** Parts of what a cold host bears that new flows may take up. */
constexpr double kOwnZonePart = 0.3;
constexpr double kOtherZonesPart = 0.05;
constexpr Duration kSpread = std::chrono::seconds(1);
/** A node that knows fewer nodes of its zone reckons with so many: its list may be young. */
constexpr uint32_t kFewestNodes = 8;

}  // namespace

void ColdAllotment::begin(TimePoint now, Duration remaining, double flows, RandomSource& random) {
  if (isCold(now)) {
    until_ = std::max(until_, now + remaining);
    return;
  }
  until_ = now + remaining;
  const double whole = std::floor(flows);
  left_ = static_cast<uint32_t>(whole) + (random.unit() < flows - whole ? 1 : 0);
  pace_ = left_ == 0 ? kSpread : kSpread / left_;
  next_ = now +
          Duration{static_cast<Duration::rep>(static_cast<double>(pace_.count()) * random.unit())};
}

void ColdAllotment::onPlaced(TimePoint now) {
  if (!isCold(now)) {
    return;
  }
  left_ -= std::min<uint32_t>(left_, 1);
  next_ = now + pace_;
}

double coldFlowsOfNode(const ColdHostOptions& options, const ColdLimit& limit,
                       const SendingNodes& nodes, bool ownZone) {
  const double bears = limit.requestsPerSecond * options.rateFactor + options.rateAllowance;
  const double ofZone = std::max(nodes.ofZone, kFewestNodes);
  if (ownZone) {
    return kOwnZonePart * bears / ofZone;
  }
  const double otherZones = std::max<uint32_t>(nodes.zones, 2) - 1;
  return kOtherZonesPart * bears / (ofZone * otherZones);
}

}  // namespace umberhold
