#include "common/admin/claim_keeper.h"

#include <algorithm>
#include <utility>

#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"

namespace umberhold {
namespace {

/** Longer than a change takes whose store answers; drawn again for each claim, so that two that
 * wait for each other don't move each other on at once. */
constexpr Duration kShortestPatience = std::chrono::milliseconds(1500);
constexpr Duration kLongestPatience = std::chrono::milliseconds(3000);

/** Begins the history entry of a service that was moved on. */
constexpr const char* kMoveOnIdPrefix = "claim:";

bool holds(const StoredObject& service, const ClaimKey& key) {
  const std::vector<ClaimKey> keys = claimKeysIn(service);
  return std::binary_search(keys.begin(), keys.end(), key);
}

/** @return an id that belongs to no operator's change. */
std::string moveOnId(const Claimant& claimant) {
  return kMoveOnIdPrefix + claimant.requestId;
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
  const bool maybeFree = !watched_.contains(key);
  if (maybeFree) {
    auto created = write(key, 0, claimant);
    const auto* failure = isOk(created) ? nullptr : std::get_if<StoreError>(&errorOf(created));
    if (failure == nullptr || failure->code != StoreErrorCode::kConflict) {
      return created;
    }
  }
  const auto seen = read(key);
  if (!isOk(seen)) {
    return ClaimFailure{errorOf(seen)};
  }
  if (!valueOf(seen)) {
    return write(key, 0, claimant);
  }
  const SeenClaim& found = *valueOf(seen);
  const bool isOwn = found.claim.service == claimant.service;
  if (isOwn && found.claim.base >= claimant.base) {
    return Ok{};
  }
  if (isOwn || found.claim.service.empty()) {
    return write(key, found.version, claimant);
  }
  return takeOver(found, claimant);
}

Result<Ok, ClaimFailure> ClaimKeeper::takeOver(const SeenClaim& seen, const Claimant& claimant) {
  // The service is read after the claim: what was sent under the claim is based on its base at
  // most.
  const auto read = readService(seen.claim.service);
  if (!isOk(read)) {
    return ClaimFailure{errorOf(read)};
  }
  const StoredObject& holder = valueOf(read);
  if (holds(holder, seen.key)) {
    return ClaimFailure{ClaimHeld{seen.claim.service}};
  }
  if (holder.version > seen.claim.base) {
    return write(seen.key, seen.version, claimant);
  }
  if (!hasBeenStill(seen)) {
    return ClaimFailure{ClaimPending{seen.claim.service}};
  }
  const auto moved = moveOn(holder, seen, claimant);
  return isOk(moved) ? write(seen.key, seen.version, claimant) : moved;
}

bool ClaimKeeper::hasBeenStill(const SeenClaim& seen) {
  Watched& watched = watched_[seen.key];
  if (watched.version != seen.version) {
    const auto spread = static_cast<uint64_t>((kLongestPatience - kShortestPatience).count());
    const Duration patience = kShortestPatience + Duration(random_.below(spread));
    watched = {seen.version, clock_.now(), patience};
  }
  return clock_.now() - watched.since >= watched.patience;
}

Result<Ok, ClaimFailure> ClaimKeeper::moveOn(const StoredObject& holder, const SeenClaim& seen,
                                             const Claimant& claimant) {
  StoredObject moved = holder;
  moved.collection = Collection::kServices;
  moved.name = seen.claim.service;
  if (holder.version == 0) {
    moved.specification = kDeletionMarker;
  }
  moved.history.insert(moved.history.begin(), {moveOnId(claimant), claimant.author,
                                               claimName(seen.key) + " goes to " + claimant.service,
                                               clock_.unixNow(), holder.version});
  moved.history.resize(std::min(moved.history.size(), kHistoryLength));
  const auto answer = store_.put(moved);
  if (!isOk(answer)) {
    return ClaimFailure{errorOf(answer)};
  }
  return Ok{};
}

void ClaimKeeper::release(const ClaimKey& key, const std::string& service, uint64_t version) {
  const auto seen = read(key);
  if (!isOk(seen) || !valueOf(seen)) {
    return;
  }
  const SeenClaim& found = *valueOf(seen);
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

Result<std::optional<ClaimKeeper::SeenClaim>, StoreError> ClaimKeeper::read(const ClaimKey& key) {
  const auto object = store_.get(Collection::kClaims, claimName(key));
  if (isOk(object)) {
    const StoredObject& stored = valueOf(object);
    // A claim that can't be read names no service, so that the next claimant mends it.
    return std::optional<SeenClaim>(
        SeenClaim{key, stored.version, parseClaim(stored.specification).value_or(EndpointClaim{})});
  }
  if (errorOf(object).code == StoreErrorCode::kNotFound) {
    return std::optional<SeenClaim>{};
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
