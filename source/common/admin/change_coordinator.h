/**
 * @file Applies operators' changes to the platform's store and determines the outcome of each.
 *
 * A change is a conditional update of one object; it records its request id in the object's
 * history. If the store's answer is lost, the object is read back: either the id is in the history;
 * or the object still has the expected version, and the same update is sent again (whichever of the
 * two is applied first makes the other fail); or another change was applied instead. Objects are
 * never removed (platform/deletion_marker.h), so a version never recurs and a delayed update can't
 * be applied to a newer state.
 */
#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "common/admin/accepted_change_observer.h"
#include "common/admin/call_clock.h"
#include "common/admin/change_limits.h"
#include "common/admin/change_outcome.h"
#include "common/base/random.h"
#include "common/platform/platform_store.h"
#include "common/platform/retry.h"

namespace umberhold {

/** Reason why a lookup found nothing. */
enum class LookupFailure : uint8_t {
  /**
   * No history contains the id: the change is not applied, unless kHistoryLength or more later
   * changes evicted it.
   */
  kNotInHistory,
  kStoreUnavailable,
};

class ChangeAttempt;

/** Thread safe if the store and the clock are. */
class ChangeCoordinator : private RetryPacing {
 public:
  /** All are borrowed. @param seed for the jitter of the delays. */
  ChangeCoordinator(PlatformStore& store, CallClock& clock, uint64_t seed,
                    ChangeLimits limits = {});

  /** @param observer borrowed; set before the first call. */
  void setObserver(AcceptedChangeObserver* observer) { observer_ = observer; }

  /**
   * Runs the change until its outcome is decided; blocks until the deadline at most.
   * @param repeated whether an earlier call with the same request id may have reached the store.
   */
  ChangeOutcome submit(const ChangeRequest& request, bool repeated = false);

  /**
   * Returns the outcome of a change that an earlier call may have sent, without sending it again.
   * The outcome is unknown while the change may still be applied, or if it may have been evicted
   * from the history.
   */
  ChangeOutcome resolve(const ChangeRequest& request);

  /** Reads an object with a few retries; a deleted object yields kNotFound. */
  Result<StoredObject, StoreError> read(Collection collection, const std::string& name);

  /** Searches the history of one object for the request id. */
  Result<FoundChange, LookupFailure> find(Collection collection, const std::string& name,
                                          const std::string& requestId);
  /** Searches every object for the request id. Reads whole collections: for manual queries only. */
  Result<FoundChange, LookupFailure> findAnywhere(const std::string& requestId);

 private:
  ChangeAttempt attempt(const ChangeRequest& request, bool repeated);
  /** @return a seed for the jitter of one call. */
  uint64_t nextSeed();
  std::optional<Duration> takeRetry() override;

  PlatformStore& store_;
  CallClock& clock_;
  const ChangeLimits limits_;
  AcceptedChangeObserver* observer_ = nullptr;
  /** Guards the members below. */
  std::mutex pacingMutex_;
  RandomSource random_;
  RetryBudget retryBudget_;
};

/** @return the conflict for a change that expected another state of the object. */
ChangeConflict conflictWith(const StoredObject& current);

/** @return the entry with the request id, or nothing. */
std::optional<ChangeEntry> findEntry(const StoredObject& object, const std::string& requestId);

}  // namespace umberhold
