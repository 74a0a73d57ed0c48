/**
 * @file Decides when a node acquires, renews and releases a reader lease. No I/O.
 *
 * The caller executes the actions of next() against the store and reports the results.
 *
 * Rules: every write is conditional on the version last read. A holder's lease is valid for one
 * lease time after it *sent* its last acknowledged renewal. A candidate takes over a lease only
 * after it has observed the same version for the lease time plus a margin, by its own monotonic
 * clock. As long as clocks run at about the same rate, a slot therefore has at most one valid
 * holder at a time. A holder that was paused detects the expiry by its clock or by the rejected
 * write; what it does in between is harmless, because records carry versions and its writes are
 * conditional.
 */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <variant>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/platform/platform_store.h"
#include "common/platform/reader_candidacy.h"
#include "common/platform/reader_lease.h"
#include "common/platform/retry.h"

namespace umberhold {

/** Timing of the election. */
struct ReaderElectionOptions {
  Duration leaseTime = std::chrono::seconds(15);
  /** Safety margin that candidates add for differences between clock rates. */
  Duration takeoverMargin = std::chrono::seconds(2);
  Duration renewInterval = std::chrono::seconds(5);
  /**
   * A candidate of rank r reads a slot after (r + 1) times a random delay between these two. With 9
   * regions of 3 candidates per slot that is about 6.6 reads per second for the whole system.
   */
  Duration minPollInterval = std::chrono::seconds(5);
  Duration maxPollInterval = std::chrono::seconds(10);
  /** Backoff between a holder's attempts to renew. */
  BackOffOptions renewRetry{std::chrono::milliseconds(500), std::chrono::seconds(1)};
};

/** No action before this time. */
struct WaitUntil {
  TimePoint at;
};
/** Read the slot's lease from the store. */
struct ReadLease {
  uint8_t slot = 0;
};
/** Write the slot's lease if its version is the expected one. */
struct WriteLease {
  uint8_t slot = 0;
  ReaderLease lease;
  uint64_t expectedVersion = 0;
};
using ElectionAction = std::variant<WaitUntil, ReadLease, WriteLease>;

/** A lease and its version as read from the store. */
struct ObservedLease {
  uint64_t version = 0;
  ReaderLease lease;
};

/** One node's participation in the election. Not thread safe. */
class ReaderElection {
 public:
  /** @param random borrowed; must outlive the election. */
  ReaderElection(ReaderElectionOptions options, NodeId self, RandomSource& random);

  /**
   * Sets the slots for which this node is a candidate; a holder keeps its slot whatever its rank.
   */
  void setRanks(const ReaderRanks& ranks, TimePoint now);
  /** Releases the held lease and acquires no further one, because the node stops. */
  void resign();

  /** @return the action to execute now; its result must be reported before the next call. */
  ElectionAction next(TimePoint now);

  /** Reports the result of a ReadLease. @param observed nothing if the object does not exist. */
  void onRead(TimePoint now, uint8_t slot, const std::optional<ObservedLease>& observed);
  void onReadFailed(TimePoint now, uint8_t slot, const StoreError& error);
  /** Reports a successful WriteLease. @param sentAt time just before the request was sent. */
  void onWritten(TimePoint sentAt, const WriteLease& written, uint64_t version);
  void onWriteFailed(TimePoint now, uint8_t slot, const StoreError& error);

  /** @return the slot whose lease this node validly holds. */
  std::optional<uint8_t> heldSlot(TimePoint now) const;
  /** @return whether a resigning node has nothing left to release. */
  bool hasResigned() const { return resigning_ && !held_; }

 private:
  /** The lease that this node holds. */
  struct Held {
    uint8_t slot = 0;
    ObservedLease observed;
    TimePoint validUntil;
    TimePoint nextAttemptAt;
    /**
     * The result of a write is unknown, or the write was rejected: the lease must be read before
     * the next write.
     */
    bool mustRead = false;
  };
  /** State of a slot that this node does not hold. */
  struct SlotState {
    TimePoint nextReadAt;
    std::optional<ObservedLease> observed;
    TimePoint unchangedSince;
    /** Whether the lease may be acquired by a write conditional on the observed version. */
    bool mayWrite = false;
    /**
     * Whether this node held the slot until the store became unresponsive. It then keeps polling at
     * a holder's rate, since no other node can have acquired the lease before the store answers.
     */
    bool isFormerHolder = false;
  };

  ElectionAction nextAsHolder(TimePoint now);
  ElectionAction nextAsCandidate(TimePoint now);
  void readAsHolder(TimePoint now, const std::optional<ObservedLease>& observed);
  void readAsCandidate(TimePoint now, uint8_t slot, const std::optional<ObservedLease>& observed);
  bool mayAcquire(TimePoint now, const SlotState& slotState) const;
  void loseLease(TimePoint now);
  TimePoint drawNextRead(TimePoint now, uint8_t rank);
  WriteLease makeLeaseWrite(uint8_t slot, const std::optional<ObservedLease>& observed) const;

  const ReaderElectionOptions options_;
  const NodeId self_;
  RandomSource& random_;
  BackOff renewBackOff_;
  ReaderRanks ranks_;
  std::array<SlotState, kReaderSlots> slotStates_;
  std::optional<Held> held_;
  bool resigning_ = false;
};

}  // namespace umberhold
