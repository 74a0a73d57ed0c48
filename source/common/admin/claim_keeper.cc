#include "common/admin/claim_keeper.h"

#include <algorithm>
#include <utility>

#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"

namespace umberhold {
namespace {

/**
 * Range of the timeout after which an unchanged claim is stale. Longer than a change takes if the
 * store answers; random for each claim, so that two changes that wait for each other don't bump
 * each other's services at the same time.
 */
constexpr Duration kMinStaleTimeout = std::chrono::milliseconds(1500);
constexpr Duration kMaxStaleTimeout = std::chrono::milliseconds(3000);

/** Prefix of the request id in the history entry that a version bump adds to a service. */
constexpr const char* kVersionBumpIdPrefix = "claim:";

bool holds(const StoredObject& service, const ClaimKey& key) {
  const std::vector<ClaimKey> keys = claimKeysIn(service);
  return std::binary_search(keys.begin(), keys.end(), key);
}

/** @return a request id that no change of an operator has. */
std::string versionBumpId(const Claimant& claimant) {
  return kVersionBumpIdPrefix + claimant.requestId;
}

}  // namespace

std::vector<ClaimKey> claimKeysIn(const StoredObject& object) {
  if (object.collection != Collection::kServices || object.version == 0 || isDeleted(object)) {
    return {};
  }
  const auto service = parseService(object.name, object.specification);
  return isOk(service) ? claimKeysOf(valueOf(service)) : std::vector<ClaimKey>{};
}

ClaimKeeper::ClaimKeeper(PlatformStore& store, CallClock& clock, RandomSource& random)
    : store_(store), clock_(clock), random_(random) {}

Result<Ok, ClaimFailure> ClaimKeeper::acquire(const ClaimKey& key, const Claimant& claimant) {
  const bool maybeUnclaimed = !observations_.contains(key);
  if (maybeUnclaimed) {
    auto created = write(key, 0, claimant);
    const auto* failure = isOk(created) ? nullptr : std::get_if<StoreError>(&errorOf(created));
    if (failure == nullptr || failure->code != StoreErrorCode::kConflict) {
      return created;
    }
  }
  const auto observed = read(key);
  if (!isOk(observed)) {
    return ClaimFailure{errorOf(observed)};
  }
  if (!valueOf(observed)) {
    return write(key, 0, claimant);
  }
  const ObservedClaim& found = *valueOf(observed);
  const bool isOwn = found.claim.service == claimant.service;
  if (isOwn && found.claim.base >= claimant.base) {
    return Ok{};
  }
  if (isOwn || found.claim.service.empty()) {
    return write(key, found.version, claimant);
  }
  return takeOver(found, claimant);
}

Result<Ok, ClaimFailure> ClaimKeeper::takeOver(const ObservedClaim& observed,
                                               const Claimant& claimant) {
  // The service is read after the claim. Updates sent under the claim expect a version of at most
  // the claim's base, so all of them fail once the service is at a higher version.
  const auto read = readService(observed.claim.service);
  if (!isOk(read)) {
    return ClaimFailure{errorOf(read)};
  }
  const StoredObject& holder = valueOf(read);
  if (holds(holder, observed.key)) {
    return ClaimFailure{ClaimHeld{observed.claim.service}};
  }
  if (holder.version > observed.claim.base) {
    return write(observed.key, observed.version, claimant);
  }
  if (!isStale(observed)) {
    return ClaimFailure{ClaimPending{observed.claim.service}};
  }
  const auto bumped = bumpServiceVersion(holder, observed, claimant);
  return isOk(bumped) ? write(observed.key, observed.version, claimant) : bumped;
}

bool ClaimKeeper::isStale(const ObservedClaim& observed) {
  ClaimObservation& observation = observations_[observed.key];
  if (observation.version != observed.version) {
    const auto jitterRange = static_cast<uint64_t>((kMaxStaleTimeout - kMinStaleTimeout).count());
    const Duration timeout = kMinStaleTimeout + Duration(random_.below(jitterRange));
    observation = {observed.version, clock_.now(), timeout};
  }
  return clock_.now() - observation.since >= observation.timeout;
}

Result<Ok, ClaimFailure> ClaimKeeper::bumpServiceVersion(const StoredObject& holder,
                                                         const ObservedClaim& observed,
                                                         const Claimant& claimant) {
  StoredObject bumped = holder;
  bumped.collection = Collection::kServices;
  bumped.name = observed.claim.service;
  if (holder.version == 0) {
    bumped.specification = kDeletionMarker;
  }
  bumped.history.insert(
      bumped.history.begin(),
      {versionBumpId(claimant), claimant.author,
       claimName(observed.key) + " goes to " + claimant.service, clock_.unixNow(), holder.version});
  bumped.history.resize(std::min(bumped.history.size(), kHistoryLength));
  const auto answer = store_.put(bumped);
  if (!isOk(answer)) {
    return ClaimFailure{errorOf(answer)};
  }
  return Ok{};
}

void ClaimKeeper::release(const ClaimKey& key, const std::string& service, uint64_t version) {
  const auto observed = read(key);
  if (!isOk(observed) || !valueOf(observed)) {
    return;
  }
  const ObservedClaim& found = *valueOf(observed);
  if (found.claim.service != service || found.claim.base >= version) {
    return;
  }
  StoredObject object;
  object.collection = Collection::kClaims;
  object.name = claimName(key);
  object.version = found.version;
  store_.remove(object);
}

Result<Ok, ClaimFailure> ClaimKeeper::write(const ClaimKey& key, uint64_t expectedVersion,
                                            const Claimant& claimant) {
  StoredObject object;
  object.collection = Collection::kClaims;
  object.name = claimName(key);
  object.version = expectedVersion;
  object.specification = formatClaim({claimant.service, claimant.base, claimant.requestId});
  const auto answer = store_.put(object);
  if (!isOk(answer)) {
    return ClaimFailure{errorOf(answer)};
  }
  return Ok{};
}

Result<std::optional<ClaimKeeper::ObservedClaim>, StoreError> ClaimKeeper::read(
    const ClaimKey& key) {
  const auto object = store_.get(Collection::kClaims, claimName(key));
  if (isOk(object)) {
    const StoredObject& stored = valueOf(object);
    // A claim that can't be parsed names no service, so that the next claimant overwrites it.
    return std::optional<ObservedClaim>(ObservedClaim{
        key, stored.version, parseClaim(stored.specification).value_or(EndpointClaim{})});
  }
  if (errorOf(object).code == StoreErrorCode::kNotFound) {
    return std::optional<ObservedClaim>{};
  }
  return errorOf(object);
}

Result<StoredObject, StoreError> ClaimKeeper::readService(const std::string& name) {
  auto object = store_.get(Collection::kServices, name);
  if (!isOk(object) && errorOf(object).code == StoreErrorCode::kNotFound) {
    return StoredObject{};
  }
  return object;
}

}  // namespace umberhold
