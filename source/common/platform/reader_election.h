/**
 * @file Decides when a node asks for, renews and gives up a reader's lease. No I/O.
 *
 * The caller runs the actions of next() against the store and reports what came back.
 *
 * Rules: every write is conditional on the version last seen. A holder believes in its lease until
 * one lease time after it *sent* its last answered renewal. A candidate takes a lease over only
 * after it saw the same version for the lease time plus a margin, by its own monotonic clock. So,
 * as long as clocks run at about one rate, a slot has one believer at a time. A holder that was
 * paused finds out by its clock or by the refused write; what it does meanwhile is harmless,
 * because records carry versions and its writes are conditional.
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

/** Times of the election. */
struct ReaderElectionOptions {
  Duration leaseTime = std::chrono::seconds(15);
  /** Added by candidates for clocks that run at different rates. */
  Duration takeoverMargin = std::chrono::seconds(2);
  Duration renewInterval = std::chrono::seconds(5);
  /**
   * A candidate of rank r looks at a slot every (r + 1) times a random wait between these two. With
   * 9 regions of 3 candidates a slot that is about 6.6 reads a second for the whole system.
   */
  Duration minPollInterval = std::chrono::seconds(5);
  Duration maxPollInterval = std::chrono::seconds(10);
  /** Waits between a holder's tries to renew. */
  BackOffOptions renewRetry{std::chrono::milliseconds(500), std::chrono::seconds(1)};
};

/** Nothing to do before then. */
struct WaitUntil {
  TimePoint at;
};
/** Get the slot's lease from the store. */
struct ReadLease {
  uint8_t slot = 0;
};
/** Put the slot's lease over the expected version. */
struct WriteLease {
  uint8_t slot = 0;
  ReaderLease lease;
  uint64_t expectedVersion = 0;
};
using ElectionAction = std::variant<WaitUntil, ReadLease, WriteLease>;

/** A lease with its version, as read. */
struct ObservedLease {
  uint64_t version = 0;
  ReaderLease lease;
};

/** One node's part in the election. Not thread safe. */
class ReaderElection {
 public:
  /** @param random borrowed; must outlive the election. */
  ReaderElection(ReaderElectionOptions options, NodeId self, RandomSource& random);

  /** Says for which slots this node is a candidate; a holder stays one whatever its rank. */
  void setRanks(const ReaderRanks& ranks, TimePoint now);
  /** The node stops: gives up what it holds and asks for nothing more. */
  void resign();

  /** @return the one thing to do now; its outcome must be reported before the next call. */
  ElectionAction next(TimePoint now);

  /** A ReadLease was answered. @param seen nothing where the object does not exist. */
  void onRead(TimePoint now, uint8_t slot, const std::optional<ObservedLease>& seen);
  void onReadFailed(TimePoint now, uint8_t slot, const StoreError& error);
  /** A WriteLease was answered. @param sentAt instant just before it was sent. */
  void onWritten(TimePoint sentAt, const WriteLease& written, uint64_t version);
  void onWriteFailed(TimePoint now, uint8_t slot, const StoreError& error);

  /** @return the slot that this node may act for now. */
  std::optional<uint8_t> heldSlot(TimePoint now) const;
  /** @return whether a resigning node has nothing left to give up. */
  bool hasResigned() const { return resigning_ && !held_; }

 private:
  /** What this node holds. */
  struct Held {
    uint8_t slot = 0;
    ObservedLease seen;
    TimePoint validUntil;
    TimePoint nextTry;
    /** The fate of a write is unknown, or it was refused: look before the next one. */
    bool mustRead = false;
  };
  /** What this node knows of a slot that it does not hold. */
  struct Watched {
    TimePoint nextRead;
    std::optional<ObservedLease> seen;
    TimePoint unchangedSince;
    /** The lease may be claimed over the version seen. */
    bool claim = false;
    /**
     * This node held the slot until the store fell silent: it goes on asking at the pace of a
     * holder, since nobody else can have taken the lease before the store answers.
     */
    bool heldBefore = false;
  };

  ElectionAction nextOfHolder(TimePoint now);
  ElectionAction nextOfCandidate(TimePoint now);
  void readAsHolder(TimePoint now, const std::optional<ObservedLease>& seen);
  void readAsCandidate(TimePoint now, uint8_t slot, const std::optional<ObservedLease>& seen);
  bool mayClaim(TimePoint now, const Watched& watched) const;
  void lose(TimePoint now);
  TimePoint drawNextRead(TimePoint now, uint8_t rank);
  WriteLease claimOf(uint8_t slot, const std::optional<ObservedLease>& seen) const;

  const ReaderElectionOptions options_;
  const NodeId self_;
  RandomSource& random_;
  BackOff renewBackOff_;
  ReaderRanks ranks_;
  std::array<Watched, kReaderSlots> watched_;
  std::optional<Held> held_;
  bool resigning_ = false;
};

}  // namespace umberhold
