#include "common/admission/pool_use.h"

#include <limits>

namespace umberhold {
namespace {

/** Minimum fraction of the requests under way that more urgent services must have for others to
 * yield. A service with very few requests needs no reserved room: when others yielded to a service
 * with one hundredth of the requests, they got a single opening per node while hosts had idle
 * slots. */
constexpr double kMinUrgentPart = 0.05;

}  // namespace

void PoolUse::onEnded(TimePoint now, const EndedRequest& request) {
  Level& level = levels_[request.priority];
  level.requests.onEnded(now, request.took);
  if (!request.opened) {
    level.onOpenFlows.onEnded(now, request.took);
  }
  if (request.usual > Duration{0}) {
    serviceTime_.add(now, request.usual);
  }
}

double PoolUse::underWay(TimePoint now) const {
  double sum = 0.0;
  for (const auto& [priority, level] : levels_) {
    sum += level.requests.value(now);
  }
  return sum;
}

double PoolUse::underWayMoreUrgent(TimePoint now, uint32_t priority) const {
  double sum = 0.0;
  for (auto level = levels_.begin(); level != levels_.end() && level->first < priority; ++level) {
    sum += level->second.requests.value(now);
  }
  return sum;
}

double PoolUse::onOpenFlows(TimePoint now) const {
  return onOpenFlows(now, std::numeric_limits<uint32_t>::max());
}

double PoolUse::onOpenFlows(TimePoint now, uint32_t priority) const {
  double sum = 0.0;
  for (auto level = levels_.begin(); level != levels_.end() && level->first <= priority; ++level) {
    sum += level->second.onOpenFlows.value(now);
  }
  return sum;
}

bool PoolUse::yields(TimePoint now, uint32_t priority) const {
  const double urgent = underWayMoreUrgent(now, priority);
  return urgent > 0.0 && urgent >= kMinUrgentPart * underWay(now);
}

}  // namespace umberhold
