#include "common/admission/pool_use.h"

namespace umberhold {
namespace {

/** A service counts as in use for so long after its last request: a node of a large fleet sees few
 * of each service. */
constexpr Duration kInUse = std::chrono::seconds(10);

}  // namespace

void PoolUse::onEnded(TimePoint now, const EndedRequest& request) {
  Level& level = levels_[request.priority];
  level.requests.onEnded(now, request.took);
  level.lastAt = now;
  if (!request.opened) {
    onOpenFlows_.onEnded(now, request.took);
  }
  if (request.usual > Duration{0}) {
    work_.add(now, request.usual);
  }
}

double PoolUse::underWay(TimePoint now) const {
  double sum = 0.0;
  for (const auto& [priority, level] : levels_) {
    sum += level.requests.value(now);
  }
  return sum;
}

double PoolUse::moreUrgent(TimePoint now, uint32_t priority) const {
  double sum = 0.0;
  for (auto level = levels_.begin(); level != levels_.end() && level->first < priority; ++level) {
    sum += level->second.requests.value(now);
  }
  return sum;
}

bool PoolUse::hasMoreUrgent(TimePoint now, uint32_t priority) const {
  for (auto level = levels_.begin(); level != levels_.end() && level->first < priority; ++level) {
    if (now - level->second.lastAt < kInUse) {
      return true;
    }
  }
  return false;
}

}  // namespace umberhold
