#include "common/admin/change_coordinator.h"

#include <utility>

#include "common/admin/change_attempt.h"
#include "common/platform/deletion_marker.h"

namespace umberhold {
namespace {

constexpr uint32_t kMaxReadAttempts = 3;

}  // namespace

ChangeConflict conflictWith(const StoredObject& current) {
  ChangeConflict conflict;
  conflict.currentVersion = isDeleted(current) ? 0 : current.version;
  if (!current.history.empty()) {
    conflict.lastChange = current.history.front();
  }
  return conflict;
}

std::optional<ChangeEntry> findEntry(const StoredObject& object, const std::string& requestId) {
  for (const ChangeEntry& entry : object.history) {
    if (entry.requestId == requestId) {
      return entry;
    }
  }
  return std::nullopt;
}

ChangeCoordinator::ChangeCoordinator(PlatformStore& store, CallClock& clock, uint64_t seed,
                                     ChangeLimits limits)
    : store_(store), clock_(clock), limits_(limits), random_(seed), retryBudget_(limits.retries) {}

ChangeOutcome ChangeCoordinator::submit(const ChangeRequest& request, bool repeated) {
  if (request.requestId.empty() || request.requestId.size() > kMaxRequestIdLength) {
    return ChangeRefused{ChangeRefusal::kBadRequestId, "1 to 64 characters"};
  }
  return attempt(request, repeated).run();
}

ChangeOutcome ChangeCoordinator::resolve(const ChangeRequest& request) {
  return attempt(request, true).resolve();
}

Result<StoredObject, StoreError> ChangeCoordinator::read(Collection collection,
                                                         const std::string& name) {
  RandomSource random(nextSeed());
  BackOff backOff(limits_.backOff, random);
  for (uint32_t attempts = 1;; ++attempts) {
    auto answer = store_.get(collection, name);
    if (isOk(answer)) {
      if (isDeleted(valueOf(answer))) {
        return StoreError{StoreErrorCode::kNotFound, "deleted", std::nullopt};
      }
      return answer;
    }
    if (errorOf(answer).code == StoreErrorCode::kNotFound || attempts == kMaxReadAttempts) {
      return answer;
    }
    clock_.sleepFor(backOff.next());
  }
}

Result<FoundChange, LookupFailure> ChangeCoordinator::find(Collection collection,
                                                           const std::string& name,
                                                           const std::string& requestId) {
  const auto answer = store_.get(collection, name);
  if (!isOk(answer)) {
    const bool notFound = errorOf(answer).code == StoreErrorCode::kNotFound;
    return notFound ? LookupFailure::kNotInHistory : LookupFailure::kStoreUnavailable;
  }
  const StoredObject& object = valueOf(answer);
  if (const auto entry = findEntry(object, requestId)) {
    return FoundChange{collection, name, object.version, *entry};
  }
  return LookupFailure::kNotInHistory;
}

Result<FoundChange, LookupFailure> ChangeCoordinator::findAnywhere(const std::string& requestId) {
  for (const Collection collection : {Collection::kServices, Collection::kPolicies}) {
    const auto answer = store_.list(collection);
    if (!isOk(answer)) {
      return LookupFailure::kStoreUnavailable;
    }
    for (const StoredObject& object : valueOf(answer).objects) {
      if (const auto entry = findEntry(object, requestId)) {
        return FoundChange{collection, object.name, object.version, *entry};
      }
    }
  }
  return LookupFailure::kNotInHistory;
}

ChangeAttempt ChangeCoordinator::attempt(const ChangeRequest& request, bool repeated) {
  return ChangeAttempt({store_, clock_, limits_, observer_, *this, nextSeed()}, request, repeated);
}

uint64_t ChangeCoordinator::nextSeed() {
  const std::lock_guard<std::mutex> lock(pacingMutex_);
  return random_.engine()();
}

std::optional<Duration> ChangeCoordinator::takeRetry() {
  const std::lock_guard<std::mutex> lock(pacingMutex_);
  const TimePoint now = clock_.now();
  if (retryBudget_.tryTake(now)) {
    return std::nullopt;
  }
  return retryBudget_.waitTime(now);
}

}  // namespace umberhold
