#include "common/admin/change_attempt.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/admin/change_coordinator.h"
#include "common/platform/deletion_marker.h"

namespace umberhold {
namespace {

/** @return the object with the change in its history; not yet at its new version. */
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

/** @return whether the update may follow on this state of the object. */
bool isExpected(const ChangeRequest& request, const StoredObject& current) {
  if (request.expectedVersion == 0) {
    return current.version == 0 || isDeleted(current);
  }
  return current.version == request.expectedVersion && !isDeleted(current);
}

/** @return whether the history holds every change that followed on the version. */
bool reachesBackTo(const std::vector<ChangeEntry>& history, uint64_t version) {
  const bool complete = history.size() < kHistoryLength;
  return complete || std::any_of(history.begin(), history.end(), [&](const ChangeEntry& entry) {
           return entry.baseVersion && *entry.baseVersion <= version;
         });
}

/** @return the object as it is once the change is in. */
StoredObject wantedObject(const ChangeRequest& request) {
  StoredObject wanted = withChange(request, {}, 0);
  // Any version but 0, which would say that the object does not exist.
  wanted.version = 1;
  return wanted;
}

/** Both in order. @return the keys of the first that the second has not. */
std::vector<ClaimKey> without(const std::vector<ClaimKey>& keys,
                              const std::vector<ClaimKey>& others) {
  std::vector<ClaimKey> rest;
  std::set_difference(keys.begin(), keys.end(), others.begin(), others.end(),
                      std::back_inserter(rest));
  return rest;
}

std::string describe(const ClaimKey& key) {
  const char* what = key.kind == ClaimKind::kHost ? "host " : "address ";
  return what + toString(key.endpoint);
}

}  // namespace

ChangeAttempt::ChangeAttempt(AttemptContext context, const ChangeRequest& request, bool repeated)
    : context_(context),
      request_(request),
      wantedKeys_(claimKeysIn(wantedObject(request))),
      mayBeIn_(repeated),
      deadline_(context.clock.now() + context.limits.deadline),
      random_(context.seed),
      backOff_(context.limits.backOff, random_),
      claims_(context.store, context.clock, random_) {}

ChangeOutcome ChangeAttempt::resolve() {
  const std::optional<StoredObject> current = readCurrent();
  if (!current) {
    return unknown(lastDetail_);
  }
  const std::optional<ChangeOutcome> shown = outcomeShownBy(*current);
  return shown ? *shown : unknown("it is not in the object's history so far");
}

ChangeOutcome ChangeAttempt::run() {
  while (true) {
    std::optional<ChangeOutcome> outcome = step();
    if (outcome) {
      return *outcome;
    }
    if (!waitForNextTry()) {
      return givenUp();
    }
  }
}

std::optional<ChangeOutcome> ChangeAttempt::step() {
  const std::optional<StoredObject> current = readCurrent();
  if (!current) {
    return std::nullopt;
  }
  std::optional<ChangeOutcome> shown = outcomeShownBy(*current);
  if (shown && std::holds_alternative<ChangeConflict>(*shown)) {
    return conflict(*current);
  }
  if (shown) {
    return shown;
  }
  const auto claimed = claimAll(*current);
  return isOk(claimed) ? tryUpdate(*current) : errorOf(claimed);
}

std::optional<ChangeOutcome> ChangeAttempt::outcomeShownBy(const StoredObject& current) const {
  if (const auto entry = findEntry(current, request_.requestId)) {
    return foundInHistory(current, *entry);
  }
  if (mayBeIn_ && mayHaveLeftHistory(current)) {
    return unknown("the object's history no longer reaches back to the change");
  }
  if (!isExpected(request_, current)) {
    return conflictWith(current);
  }
  return std::nullopt;
}

bool ChangeAttempt::mayHaveLeftHistory(const StoredObject& current) const {
  const uint64_t base = request_.expectedVersion != 0 ? request_.expectedVersion : triedVersion_;
  return current.version != base && !reachesBackTo(current.history, base);
}

std::optional<StoredObject> ChangeAttempt::readCurrent() {
  auto answer = context_.store.get(request_.collection, request_.name);
  if (isOk(answer)) {
    return std::move(valueOf(answer));
  }
  if (errorOf(answer).code == StoreErrorCode::kNotFound) {
    return StoredObject{};
  }
  noteFailure(errorOf(answer));
  return std::nullopt;
}

Result<Ok, std::optional<ChangeOutcome>> ChangeAttempt::claimAll(const StoredObject& current) {
  if (claimedBase_ != current.version) {
    claimed_.clear();
    claimedBase_ = current.version;
  }
  const Claimant claimant{request_.name, current.version, request_.requestId, request_.author};
  for (const ClaimKey& key : without(wantedKeys_, claimKeysIn(current))) {
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
    storeWait_.reset();
    lastDetail_ = describe(key) + " is being taken for service '" + pending->service + "'";
    return std::nullopt;
  }
  const StoreError& error = std::get<StoreError>(failure);
  if (error.code == StoreErrorCode::kRejected && !mayBeIn_) {
    return ChangeRefused{ChangeRefusal::kStoreRefused, error.detail};
  }
  noteFailure(error);
  return std::nullopt;
}

std::optional<ChangeOutcome> ChangeAttempt::blockedBy(const ClaimKey& key,
                                                      const std::string& service) {
  const ChangeBlocked blocked{key, service};
  if (!mayBeIn_) {
    return blocked;
  }
  // The change may have come in, and the key may have been given up, since the object was read.
  const std::optional<StoredObject> current = readCurrent();
  if (!current) {
    return std::nullopt;
  }
  const std::optional<ChangeOutcome> shown = outcomeShownBy(*current);
  return shown ? *shown : blocked;
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
      if (!mayBeIn_) {
        return ChangeRefused{ChangeRefusal::kStoreRefused, error.detail};
      }
      break;
    case StoreErrorCode::kAnswerLost:
    case StoreErrorCode::kMalformedAnswer:
    case StoreErrorCode::kTooOld:
      mayBeIn_ = true;
      triedVersion_ = current.version;
      break;
  }
  noteFailure(error);
  return std::nullopt;
}

ChangeOutcome ChangeAttempt::onUpdated(const StoredObject& current, const StoredObject& changed) {
  ChangeOutcome outcome = accepted(changed);
  releaseAll(without(claimKeysIn(current), wantedKeys_), changed.version);
  return outcome;
}

ChangeOutcome ChangeAttempt::conflict(const StoredObject& current) {
  const std::vector<ClaimKey> taken(claimed_.begin(), claimed_.end());
  releaseAll(without(taken, claimKeysIn(current)), current.version);
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

void ChangeAttempt::noteFailure(const StoreError& error) {
  lastDetail_ = error.detail;
  storeWait_ = error.retryAfter;
}

bool ChangeAttempt::waitForNextTry() {
  while (const auto budgetWait = context_.pacing.takeRetry()) {
    if (!sleepWithinDeadline(*budgetWait)) {
      return false;
    }
  }
  return sleepWithinDeadline(backOff_.next(storeWait_));
}

bool ChangeAttempt::sleepWithinDeadline(Duration wait) {
  if (context_.clock.now() + wait >= deadline_) {
    return false;
  }
  context_.clock.sleepFor(wait);
  return true;
}

ChangeOutcome ChangeAttempt::givenUp() const {
  if (mayBeIn_) {
    return unknown(lastDetail_);
  }
  return ChangeUnavailable{comeBackAfter(), lastDetail_};
}

ChangeUnknown ChangeAttempt::unknown(const std::string& detail) const {
  return ChangeUnknown{request_.requestId, comeBackAfter(), detail};
}

Duration ChangeAttempt::comeBackAfter() const {
  return std::max(storeWait_.value_or(Duration{}), context_.limits.backOff.maxDelay);
}

}  // namespace umberhold
