#include "test/soak/world/load_watch.h"

#include <algorithm>

namespace umberhold::soak {
namespace {

constexpr Duration kFullWindow = std::chrono::seconds(1);
/** Requests that begin in the evaluated time end within their callers' deadlines. */
constexpr Duration kRequestDeadline = std::chrono::seconds(3);

}  // namespace

void LoadWatch::onEnded(TimePoint now, const std::string& pool, const std::string& service,
                        TimePoint begunAt, bool served) {
  if (capacityRestoredAt_ && begunAt >= *capacityRestoredAt_ + bounds_.maximumRecovery &&
      begunAt < *capacityRestoredAt_ + bounds_.maximumRecovery + bounds_.evaluationTime) {
    ++requestsAfterRecovery_.all;
    requestsAfterRecovery_.served += served ? 1 : 0;
  }
  std::map<std::string, Starvation>& services = starvation_[pool];
  Starvation& own = services[service];
  if (served) {
    for (auto& [name, other] : services) {
      other.othersServed += name == service ? 0 : 1;
    }
    own = {};
    return;
  }
  if (!own.since) {
    own = {now, 0, 0};
  }
  ++own.unserved;
  if (own.unserved < bounds_.minimumEnds || own.othersServed < bounds_.minimumEnds) {
    return;
  }
  const Duration starved = now - *own.since;
  longestStarved_ = std::max(longestStarved_, starved);
  if (starved > bounds_.starved) {
    promises_.broken(
        now, Promise::kNoServiceStarved,
        service + " for " + std::to_string(std::chrono::duration<double>(starved).count()) + " s");
    own = {};
  }
}

void LoadWatch::onFull(TimePoint now, const std::string& host) {
  std::deque<TimePoint>& recent = full_[host];
  recent.push_back(now);
  while (now - recent.front() > kFullWindow) {
    recent.pop_front();
  }
  if (recent.size() > bounds_.openingsToFullHost) {
    promises_.broken(now, Promise::kFullHostsSpared,
                     std::to_string(recent.size()) + " openings to " + host);
    recent.clear();
  }
}

void LoadWatch::onCapacityRestored(TimePoint now) {
  capacityRestoredAt_ = now;
  requestsAfterRecovery_ = {};
}

void LoadWatch::tick(TimePoint now, bool allSettled) {
  if (!capacityRestoredAt_ || now < *capacityRestoredAt_ + bounds_.maximumRecovery) {
    return;
  }
  if (!allSettled) {
    capacityRestoredAt_.reset();
    return;
  }
  if (now <
      *capacityRestoredAt_ + bounds_.maximumRecovery + bounds_.evaluationTime + kRequestDeadline) {
    return;
  }
  capacityRestoredAt_.reset();
  if (requestsAfterRecovery_.all < bounds_.minimumEnds) {
    return;
  }
  ++recoveriesEvaluated_;
  const double share = static_cast<double>(requestsAfterRecovery_.served) /
                       static_cast<double>(requestsAfterRecovery_.all);
  if (share < bounds_.usualShare) {
    promises_.broken(now, Promise::kShareReturns,
                     "served " + std::to_string(requestsAfterRecovery_.served) + " of " +
                         std::to_string(requestsAfterRecovery_.all));
  }
}

}  // namespace umberhold::soak
