/** @file Runs one change against the store until its outcome is decided. */
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/admin/accepted_change_observer.h"
#include "common/admin/call_clock.h"
#include "common/admin/change_limits.h"
#include "common/admin/change_outcome.h"
#include "common/admin/claim_keeper.h"
#include "common/base/random.h"
#include "common/platform/platform_store.h"
#include "common/platform/retry.h"

namespace umberhold {

/** Dependencies of an attempt; all but the seed are borrowed. */
struct AttemptContext {
  PlatformStore& store;
  CallClock& clock;
  const ChangeLimits& limits;
  /** May be nullptr. */
  AcceptedChangeObserver* observer;
  RetryPacing& pacing;
  uint64_t seed;
};

/** Executes one change and tracks its state. Blocking; not thread safe; for a single run. */
class ChangeAttempt {
 public:
  /**
   * @param request borrowed.
   * @param repeated whether an earlier call with the same request id may have reached the store.
   */
  ChangeAttempt(AttemptContext context, const ChangeRequest& request, bool repeated);
  ChangeAttempt(const ChangeAttempt&) = delete;
  ChangeAttempt& operator=(const ChangeAttempt&) = delete;

  /** Reads the object once. @return the outcome that its state shows, or unknown. */
  ChangeOutcome resolve();
  /** Retries until the outcome is decided or the deadline passes. */
  ChangeOutcome run();

 private:
  /**
   * Reads the object and, if it is in the expected state, sends the update.
   * @return the outcome, or nothing if another attempt is needed.
   */
  std::optional<ChangeOutcome> step();
  /** @return the outcome that the object's state decides, or nothing if it is still open. */
  std::optional<ChangeOutcome> outcomeFromState(const StoredObject& current) const;
  /**
   * @return whether the change may have been applied and then evicted from the history by later
   * changes.
   */
  bool mayBeEvictedFromHistory(const StoredObject& current) const;
  std::optional<StoredObject> readCurrent();

  /** Acquires the claims for all keys that the change adds to the object. */
  Result<Ok, std::optional<ChangeOutcome>> claimAll(const StoredObject& current);
  /** @return the outcome of a change whose claim failed, or nothing if a retry may help. */
  std::optional<ChangeOutcome> onClaimFailed(const ClaimKey& key, const ClaimFailure& failure);
  /**
   * @return the outcome of a change that needs a key of another service, or nothing if the object
   * can't be read to decide it.
   */
  std::optional<ChangeOutcome> blockedBy(const ClaimKey& key, const std::string& service);
  /**
   * Releases the claims of keys that the object does not hold at this version; stops at the
   * deadline.
   */
  void releaseAll(const std::vector<ClaimKey>& keys, uint64_t version);

  std::optional<ChangeOutcome> tryUpdate(const StoredObject& current);
  ChangeOutcome onUpdated(const StoredObject& current, const StoredObject& changed);
  /**
   * Releases the claims that this attempt acquired for keys that the current object does not hold.
   * @return the conflict.
   */
  ChangeOutcome conflict(const StoredObject& current);
  ChangeOutcome foundInHistory(const StoredObject& current, const ChangeEntry& entry) const;
  /** Notifies the observer. @return the outcome. */
  ChangeOutcome accepted(const StoredObject& object) const;

  void recordFailure(const StoreError& error);
  /** Waits for the retry budget and the backoff. @return false if the deadline comes first. */
  bool waitForNextAttempt();
  bool sleepWithinDeadline(Duration wait);
  ChangeOutcome outcomeAtTimeout() const;
  ChangeUnknown unknown(const std::string& detail) const;
  Duration retryDelay() const;

  const AttemptContext context_;
  const ChangeRequest& request_;
  /** Keys that the object holds once the change is applied, sorted. */
  const std::vector<ClaimKey> requiredKeys_;
  /** Whether an update was sent whose effect is unknown. */
  bool mayBeApplied_;
  /** Version expected by the last update of this run whose effect is unknown. */
  uint64_t attemptedVersion_ = 0;
  const TimePoint deadline_;
  RandomSource random_;
  BackOff backOff_;
  ClaimKeeper claims_;
  /** Keys whose claims are valid for changes based on claimedBase_. */
  std::set<ClaimKey> claimed_;
  uint64_t claimedBase_ = 0;
  /** Retry delay that the store requested last. */
  std::optional<Duration> storeRetryAfter_;
  std::string lastErrorDetail_;
};

}  // namespace umberhold
