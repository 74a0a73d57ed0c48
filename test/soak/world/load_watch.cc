#include "test/soak/world/load_watch.h"

#include <algorithm>

namespace umberhold::soak {
namespace {

constexpr Duration kFullHostWindow = std::chrono::seconds(1);
/** Deadline of the callers: the evaluation waits until all requests of the evaluated time ended. */
constexpr Duration kRequestDeadline = std::chrono::seconds(3);

}  // namespace

void LoadWatch::onEnded(TimePoint now, const std::string& pool, const std::string& service,
                        TimePoint startedAt, bool served) {
  if (capacityRestoredAt_ && startedAt >= *capacityRestoredAt_ + bounds_.maxRecoveryTime &&
      startedAt < *capacityRestoredAt_ + bounds_.maxRecoveryTime + bounds_.evaluationTime) {
    ++requestsAfterRecovery_.all;
    requestsAfterRecovery_.served += served ? 1 : 0;
  }
  std::map<std::string, Starvation>& services = starvation_[pool];
  Starvation& starvation = services[service];
  if (served) {
    for (auto& [name, other] : services) {
      other.othersServed += name == service ? 0 : 1;
    }
    starvation = {};
    return;
  }
  if (!starvation.since) {
    starvation = {now, 0, 0};
  }
  ++starvation.unserved;
  if (starvation.unserved < bounds_.minEndedRequests ||
      starvation.othersServed < bounds_.minEndedRequests) {
    return;
  }
  const Duration duration = now - *starvation.since;
  longestStarvation_ = std::max(longestStarvation_, duration);
  if (duration > bounds_.maxStarvation) {
    promises_.recordViolation(
        now, Promise::kNoServiceStarved,
        service + " for " + std::to_string(std::chrono::duration<double>(duration).count()) + " s");
    starvation = {};
  }
}

void LoadWatch::onFull(TimePoint now, const std::string& host) {
  std::deque<TimePoint>& recent = openingsAtFullHost_[host];
  recent.push_back(now);
  while (now - recent.front() > kFullHostWindow) {
    recent.pop_front();
  }
  if (recent.size() > bounds_.maxOpeningsToFullHost) {
    promises_.recordViolation(now, Promise::kFullHostsSpared,
                              std::to_string(recent.size()) + " openings to " + host);
    recent.clear();
  }
}

void LoadWatch::onCapacityRestored(TimePoint now) {
  capacityRestoredAt_ = now;
  requestsAfterRecovery_ = {};
}

void LoadWatch::tick(TimePoint now, bool allSettled) {
  if (!capacityRestoredAt_ || now < *capacityRestoredAt_ + bounds_.maxRecoveryTime) {
    return;
  }
  if (!allSettled) {
    capacityRestoredAt_.reset();
    return;
  }
  if (now <
      *capacityRestoredAt_ + bounds_.maxRecoveryTime + bounds_.evaluationTime + kRequestDeadline) {
    return;
  }
  capacityRestoredAt_.reset();
  if (requestsAfterRecovery_.all < bounds_.minEndedRequests) {
    return;
  }
  ++recoveriesEvaluated_;
  const double share = static_cast<double>(requestsAfterRecovery_.served) /
                       static_cast<double>(requestsAfterRecovery_.all);
  if (share < bounds_.minServedShare) {
    promises_.recordViolation(now, Promise::kShareReturns,
                              "served " + std::to_string(requestsAfterRecovery_.served) + " of " +
                                  std::to_string(requestsAfterRecovery_.all));
  }
}

}  // namespace umberhold::soak
