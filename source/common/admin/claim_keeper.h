/**
 * @file Acquires and releases claims of addresses and hosts (platform/endpoint_claim.h).
 *
 * Rule: a change that adds a key to a service is sent only after the key's claim was read or
 * written as this service's, with a base no lower than the version on which the change is based,
 * while that version existed. A claim can therefore be taken from its service, or removed, once the
 * service does not hold the key and no pending change can still add it:
 *
 * * the service is at a version above the claim's base: all updates sent under the claim fail; or
 * * the service's version is bumped: rewriting the object unchanged (or as deleted) makes all
 * pending updates fail. A claimant that is still running loses its change, so this is done only
 * if the claim has not changed for a timeout, when its writer has most likely failed.
 *
 * Safety depends on no clock, and no claim blocks forever.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/admin/call_clock.h"
#include "common/base/random.h"
#include "common/platform/endpoint_claim.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Another service holds the key. */
struct ClaimHeld {
  std::string service;
};

/** Another service's change of the key is pending, or its writer failed; the caller retries. */
struct ClaimPending {
  std::string service;
};

/** Reason why a claim was not acquired. */
using ClaimFailure = std::variant<ClaimHeld, ClaimPending, StoreError>;

/** The service that acquires claims, and its change. */
struct Claimant {
  std::string service;
  /** Version on which the change is based. */
  uint64_t base = 0;
  std::string requestId;
  std::string author;
};

/** Manages the claims of one change. Blocking. Not thread safe. */
class ClaimKeeper {
 public:
  /** All are borrowed. */
  ClaimKeeper(PlatformStore& store, CallClock& clock, RandomSource& random);

  /** Acquires the key's claim, unless the claimant has it. One store call if it is unclaimed. */
  Result<Ok, ClaimFailure> acquire(const ClaimKey& key, const Claimant& claimant);

  /**
   * Removes the claim of a key that the service does not hold at this version, unless a pending
   * change may add it. A failure is harmless: the next claimant takes the claim over.
   */
  void release(const ClaimKey& key, const std::string& service, uint64_t version);

 private:
  /** A claim as read from the store. */
  struct ObservedClaim {
    ClaimKey key;
    uint64_t version = 0;
    EndpointClaim claim;
  };
  /** How long a claim has been unchanged, as observed by this change. */
  struct ClaimObservation {
    uint64_t version = 0;
    TimePoint since{};
    Duration timeout{};
  };

  Result<Ok, ClaimFailure> write(const ClaimKey& key, uint64_t expectedVersion,
                                 const Claimant& claimant);
  /** @return the claim, or nothing if there is none. */
  Result<std::optional<ObservedClaim>, StoreError> read(const ClaimKey& key);
  /** @return the service in the store; version 0 if it does not exist. */
  Result<StoredObject, StoreError> readService(const std::string& name);
  Result<Ok, ClaimFailure> takeOver(const ObservedClaim& observed, const Claimant& claimant);
  /** @return whether the claim is unchanged for its timeout: its writer has most likely failed. */
  bool isStale(const ObservedClaim& observed);
  /** Rewrites the service unchanged, so that no pending change can add the key. */
  Result<Ok, ClaimFailure> bumpServiceVersion(const StoredObject& holder,
                                              const ObservedClaim& observed,
                                              const Claimant& claimant);

  PlatformStore& store_;
  CallClock& clock_;
  RandomSource& random_;
  std::map<ClaimKey, ClaimObservation> observations_;
};

/** @return the keys of a stored service; empty for a deleted service and for other objects. */
std::vector<ClaimKey> claimKeysIn(const StoredObject& object);

}  // namespace umberhold
