#include "common/admin/change_attempt.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/admin/change_coordinator.h"
#include "common/platform/deletion_marker.h"

namespace umberhold {
namespace {

/** @return the changed object, with the change in its history, still at the base version. */
StoredObject withChange(const ChangeRequest& request, const StoredObject& base, UnixSeconds now) {
  StoredObject changed;
  changed.collection = request.collection;
  changed.name = request.name;
  changed.version = base.version;
  changed.specification = request.specification;
  changed.history.push_back(
      {request.requestId, request.author, request.summary, now, base.version});
  for (const ChangeEntry& entry : base.history) {
    if (changed.history.size() == kHistoryLength) {
      break;
    }
    changed.history.push_back(entry);
  }
  return changed;
}

/** @return whether the object is in the state that the change expects. */
bool isExpected(const ChangeRequest& request, const StoredObject& current) {
  if (request.expectedVersion == 0) {
    return current.version == 0 || isDeleted(current);
  }
  return current.version == request.expectedVersion && !isDeleted(current);
}

/** @return whether the history contains every change made since the version. */
bool coversChangesSince(const std::vector<ChangeEntry>& history, uint64_t version) {
  const bool complete = history.size() < kHistoryLength;
  return complete || std::any_of(history.begin(), history.end(), [&](const ChangeEntry& entry) {
           return entry.baseVersion && *entry.baseVersion <= version;
         });
}

/** @return the state of the object once the change is applied. */
StoredObject wantedObject(const ChangeRequest& request) {
  StoredObject wanted = withChange(request, {}, 0);
  // Any version except 0, which means that the object does not exist.
  wanted.version = 1;
  return wanted;
}

/** Both lists must be sorted. @return the keys of the first that the second lacks. */
std::vector<ClaimKey> keyDifference(const std::vector<ClaimKey>& keys,
                                    const std::vector<ClaimKey>& excluded) {
  std::vector<ClaimKey> difference;
  std::set_difference(keys.begin(), keys.end(), excluded.begin(), excluded.end(),
                      std::back_inserter(difference));
  return difference;
}

std::string describe(const ClaimKey& key) {
  const char* what = key.kind == ClaimKind::kHost ? "host " : "address ";
  return what + toString(key.endpoint);
}

}  // namespace

ChangeAttempt::ChangeAttempt(AttemptContext context, const ChangeRequest& request, bool repeated)
    : context_(context),
      request_(request),
      requiredKeys_(claimKeysIn(wantedObject(request))),
      mayBeApplied_(repeated),
      deadline_(context.clock.now() + context.limits.deadline),
      random_(context.seed),
      backOff_(context.limits.backOff, random_),
      claims_(context.store, context.clock, random_) {}

ChangeOutcome ChangeAttempt::resolve() {
  const std::optional<StoredObject> current = readCurrent();
  if (!current) {
    return unknown(lastErrorDetail_);
  }
  const std::optional<ChangeOutcome> decided = outcomeFromState(*current);
  return decided ? *decided : unknown("it is not in the object's history so far");
}

ChangeOutcome ChangeAttempt::run() {
  while (true) {
    std::optional<ChangeOutcome> outcome = step();
    if (outcome) {
      return *outcome;
    }
    if (!waitForNextAttempt()) {
      return outcomeAtTimeout();
    }
  }
}

std::optional<ChangeOutcome> ChangeAttempt::step() {
  const std::optional<StoredObject> current = readCurrent();
  if (!current) {
    return std::nullopt;
  }
  std::optional<ChangeOutcome> decided = outcomeFromState(*current);
  if (decided && std::holds_alternative<ChangeConflict>(*decided)) {
    return conflict(*current);
  }
  if (decided) {
    return decided;
  }
  const auto claimed = claimAll(*current);
  return isOk(claimed) ? tryUpdate(*current) : errorOf(claimed);
}

std::optional<ChangeOutcome> ChangeAttempt::outcomeFromState(const StoredObject& current) const {
  if (const auto entry = findEntry(current, request_.requestId)) {
    return foundInHistory(current, *entry);
  }
  if (mayBeApplied_ && mayBeEvictedFromHistory(current)) {
    return unknown("the object's history no longer reaches back to the change");
  }
  if (!isExpected(request_, current)) {
    return conflictWith(current);
  }
  return std::nullopt;
}

bool ChangeAttempt::mayBeEvictedFromHistory(const StoredObject& current) const {
  const uint64_t base =
      request_.expectedVersion != 0 ? request_.expectedVersion : attemptedVersion_;
  return current.version != base && !coversChangesSince(current.history, base);
}

std::optional<StoredObject> ChangeAttempt::readCurrent() {
  auto answer = context_.store.get(request_.collection, request_.name);
  if (isOk(answer)) {
    return std::move(valueOf(answer));
  }
  if (errorOf(answer).code == StoreErrorCode::kNotFound) {
    return StoredObject{};
  }
  recordFailure(errorOf(answer));
  return std::nullopt;
}

Result<Ok, std::optional<ChangeOutcome>> ChangeAttempt::claimAll(const StoredObject& current) {
  if (claimedBase_ != current.version) {
    claimed_.clear();
    claimedBase_ = current.version;
  }
  const Claimant claimant{request_.name, current.version, request_.requestId, request_.author};
  for (const ClaimKey& key : keyDifference(requiredKeys_, claimKeysIn(current))) {
    if (claimed_.contains(key)) {
      continue;
    }
    if (context_.clock.now() >= deadline_) {
      return std::optional<ChangeOutcome>{};
    }
    const auto acquired = claims_.acquire(key, claimant);
    if (!isOk(acquired)) {
      return onClaimFailed(key, errorOf(acquired));
    }
    claimed_.insert(key);
  }
  return Ok{};
}

std::optional<ChangeOutcome> ChangeAttempt::onClaimFailed(const ClaimKey& key,
                                                          const ClaimFailure& failure) {
  if (const auto* held = std::get_if<ClaimHeld>(&failure)) {
    return blockedBy(key, held->service);
  }
  if (const auto* pending = std::get_if<ClaimPending>(&failure)) {
    storeRetryAfter_.reset();
    lastErrorDetail_ = describe(key) + " is being taken for service '" + pending->service + "'";
    return std::nullopt;
  }
  const StoreError& error = std::get<StoreError>(failure);
  if (error.code == StoreErrorCode::kRejected && !mayBeApplied_) {
    return ChangeRefused{ChangeRefusal::kStoreRefused, error.detail};
  }
  recordFailure(error);
  return std::nullopt;
}

std::optional<ChangeOutcome> ChangeAttempt::blockedBy(const ClaimKey& key,
                                                      const std::string& service) {
  const ChangeBlocked blocked{key, service};
  if (!mayBeApplied_) {
    return blocked;
  }
  // Since the object was read, the change may have been applied and the key released again.
  const std::optional<StoredObject> current = readCurrent();
  if (!current) {
    return std::nullopt;
  }
  const std::optional<ChangeOutcome> decided = outcomeFromState(*current);
  return decided ? *decided : blocked;
}

void ChangeAttempt::releaseAll(const std::vector<ClaimKey>& keys, uint64_t version) {
  for (const ClaimKey& key : keys) {
    if (context_.clock.now() >= deadline_) {
      return;
    }
    claims_.release(key, request_.name, version);
  }
}

std::optional<ChangeOutcome> ChangeAttempt::tryUpdate(const StoredObject& current) {
  StoredObject changed = withChange(request_, current, context_.clock.unixNow());
  const auto answer = context_.store.put(changed);
  if (isOk(answer)) {
    changed.version = valueOf(answer);
    return onUpdated(current, changed);
  }
  const StoreError& error = errorOf(answer);
  switch (error.code) {
    case StoreErrorCode::kConflict:
    case StoreErrorCode::kNotFound:
    case StoreErrorCode::kUnavailable:
      break;
    case StoreErrorCode::kRejected:
      if (!mayBeApplied_) {
        return ChangeRefused{ChangeRefusal::kStoreRefused, error.detail};
      }
      break;
    case StoreErrorCode::kAnswerLost:
    case StoreErrorCode::kMalformedAnswer:
    case StoreErrorCode::kTooOld:
      mayBeApplied_ = true;
      attemptedVersion_ = current.version;
      break;
  }
  recordFailure(error);
  return std::nullopt;
}

ChangeOutcome ChangeAttempt::onUpdated(const StoredObject& current, const StoredObject& changed) {
  ChangeOutcome outcome = accepted(changed);
  releaseAll(keyDifference(claimKeysIn(current), requiredKeys_), changed.version);
  return outcome;
}

ChangeOutcome ChangeAttempt::conflict(const StoredObject& current) {
  const std::vector<ClaimKey> acquired(claimed_.begin(), claimed_.end());
  releaseAll(keyDifference(acquired, claimKeysIn(current)), current.version);
  return conflictWith(current);
}

ChangeOutcome ChangeAttempt::foundInHistory(const StoredObject& current,
                                            const ChangeEntry& entry) const {
  if (entry.summary != request_.summary) {
    return ChangeRefused{ChangeRefusal::kRequestIdReused, entry.summary};
  }
  return accepted(current);
}

ChangeOutcome ChangeAttempt::accepted(const StoredObject& object) const {
  if (context_.observer != nullptr) {
    context_.observer->onChangeAccepted(object);
  }
  return ChangeAccepted{object.version};
}

void ChangeAttempt::recordFailure(const StoreError& error) {
  lastErrorDetail_ = error.detail;
  storeRetryAfter_ = error.retryAfter;
}

bool ChangeAttempt::waitForNextAttempt() {
  while (const auto budgetWait = context_.pacing.takeRetry()) {
    if (!sleepWithinDeadline(*budgetWait)) {
      return false;
    }
  }
  return sleepWithinDeadline(backOff_.next(storeRetryAfter_));
}

bool ChangeAttempt::sleepWithinDeadline(Duration wait) {
  if (context_.clock.now() + wait >= deadline_) {
    return false;
  }
  context_.clock.sleepFor(wait);
  return true;
}

ChangeOutcome ChangeAttempt::outcomeAtTimeout() const {
  if (mayBeApplied_) {
    return unknown(lastErrorDetail_);
  }
  return ChangeUnavailable{retryDelay(), lastErrorDetail_};
}

ChangeUnknown ChangeAttempt::unknown(const std::string& detail) const {
  return ChangeUnknown{request_.requestId, retryDelay(), detail};
}

Duration ChangeAttempt::retryDelay() const {
  return std::max(storeRetryAfter_.value_or(Duration{}), context_.limits.backOff.maxDelay);
}

}  // namespace umberhold
