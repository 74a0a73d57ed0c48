/** @file Each rule of the reader election. */
#include "common/platform/reader_election.h"

#include <variant>

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace std::chrono_literals;

TEST_GROUP(ReaderElection) {
  RandomSource random{7};
  ReaderElectionOptions options;
  ReaderElection election{options, NodeId{1}, random};
  TimePoint now{1h};
  const StoreError lost{StoreErrorCode::kAnswerLost, "", {}};
  const StoreError conflict{StoreErrorCode::kConflict, "", {}};
  const StoreError unavailable{StoreErrorCode::kUnavailable, "", {}};

  static ObservedLease leaseOf(uint32_t holder, uint64_t version) {
    return {version, {NodeId{holder}, version, 15s}};
  }
  /** Advances the clock until the election has an action, and returns it. */
  ElectionAction nextAction() {
    ElectionAction action = election.next(now);
    while (const auto* wait = std::get_if<WaitUntil>(&action)) {
      now = wait->at;
      action = election.next(now);
    }
    return action;
  }
  void expectRead() {
    CHECK_TRUE(std::holds_alternative<ReadLease>(nextAction()));
  }
  WriteLease expectWrite() {
    const ElectionAction action = nextAction();
    CHECK_TRUE(std::holds_alternative<WriteLease>(action));
    return std::get<WriteLease>(action);
  }
  /** Makes the node the holder of slot 0 at version 10. */
  void acquireSlot() {
    election.setRanks({0, std::nullopt, std::nullopt}, now);
    expectRead();
    election.onRead(now, 0, std::nullopt);
    const WriteLease acquisition = expectWrite();
    election.onWritten(now, acquisition, 10);
  }
};

TEST(ReaderElection, NonCandidateNeverReads) {
  election.setRanks({}, now);
  for (int round = 0; round < 100; ++round) {
    const ElectionAction action = election.next(now);
    CHECK_TRUE(std::holds_alternative<WaitUntil>(action));
    now = std::get<WaitUntil>(action).at;
  }
}

TEST(ReaderElection, AcquiresASlotThatWasNeverHeld) {
  election.setRanks({0, std::nullopt, std::nullopt}, now);
  expectRead();
  election.onRead(now, 0, std::nullopt);
  const WriteLease acquisition = expectWrite();
  CHECK_EQUAL(0U, acquisition.expectedVersion);
  CHECK_EQUAL(1U, acquisition.lease.holder.value);
  CHECK_FALSE(election.heldSlot(now).has_value());
  election.onWritten(now, acquisition, 10);
  CHECK_TRUE(election.heldSlot(now) == uint8_t{0});
}

TEST(ReaderElection, TakesOverALeaseOnlyAfterItStayedUnchangedForTheFullTime) {
  election.setRanks({0, std::nullopt, std::nullopt}, now);
  expectRead();
  election.onRead(now, 0, leaseOf(2, 5));
  const TimePoint firstSeen = now;
  ElectionAction action = nextAction();
  while (std::holds_alternative<ReadLease>(action)) {
    election.onRead(now, 0, leaseOf(2, 5));
    action = nextAction();
  }
  CHECK_TRUE(now - firstSeen >= options.leaseTime + options.takeoverMargin);
  CHECK_EQUAL(5U, std::get<WriteLease>(action).expectedVersion);
}

TEST(ReaderElection, NeverTakesOverARenewedLease) {
  election.setRanks({0, std::nullopt, std::nullopt}, now);
  for (uint64_t version = 1; version < 200; ++version) {
    expectRead();
    election.onRead(now, 0, leaseOf(2, version));
  }
}

TEST(ReaderElection, AcquiresAReleasedLeaseImmediately) {
  election.setRanks({0, std::nullopt, std::nullopt}, now);
  expectRead();
  ObservedLease observed = leaseOf(2, 5);
  observed.lease.duration = Duration{0};
  election.onRead(now, 0, observed);
  CHECK_EQUAL(5U, expectWrite().expectedVersion);
}

TEST(ReaderElection, RenewsItsOwnVersionAndAcquiresNoSecondSlot) {
  acquireSlot();
  election.setRanks({0, 0, 0}, now);
  for (uint64_t version = 10; version < 20; ++version) {
    const WriteLease renewal = expectWrite();
    CHECK_EQUAL(0, renewal.slot);
    CHECK_EQUAL(version, renewal.expectedVersion);
    election.onWritten(now, renewal, version + 1);
  }
}

TEST(ReaderElection, PausedHoldersLeaseExpires) {
  acquireSlot();
  now += options.leaseTime;
  CHECK_FALSE(election.heldSlot(now).has_value());
  expectRead();
  election.onRead(now, 0, leaseOf(2, 11));
  CHECK_FALSE(election.heldSlot(now).has_value());
}

TEST(ReaderElection, HolderWithARejectedWriteReadsAndLosesTheLease) {
  acquireSlot();
  const WriteLease renewal = expectWrite();
  election.onWriteFailed(now, renewal.slot, conflict);
  expectRead();
  election.onRead(now, 0, leaseOf(2, 12));
  CHECK_FALSE(election.heldSlot(now).has_value());
}

TEST(ReaderElection, LostAnswerDoesNotExtendTheLease) {
  acquireSlot();
  const TimePoint acquiredAt = now;
  const WriteLease renewal = expectWrite();
  election.onWriteFailed(now, renewal.slot, lost);
  expectRead();
  election.onRead(now, 0, ObservedLease{11, renewal.lease});
  CHECK_TRUE(election.heldSlot(now) == uint8_t{0});
  CHECK_FALSE(election.heldSlot(acquiredAt + options.leaseTime).has_value());
  CHECK_EQUAL(11U, expectWrite().expectedVersion);
}

TEST(ReaderElection, NextReadFindsAnAcquisitionWhoseAnswerWasLost) {
  election.setRanks({0, std::nullopt, std::nullopt}, now);
  expectRead();
  election.onRead(now, 0, std::nullopt);
  const WriteLease acquisition = expectWrite();
  election.onWriteFailed(now, 0, lost);
  CHECK_FALSE(election.heldSlot(now).has_value());
  expectRead();
  election.onRead(now, 0, ObservedLease{10, acquisition.lease});
  const WriteLease again = expectWrite();
  CHECK_EQUAL(10U, again.expectedVersion);
  CHECK_EQUAL(acquisition.lease.renewal + 1, again.lease.renewal);
}

TEST(ReaderElection, UnreachableStoreEndsTheLeaseOnlyAtItsExpiry) {
  acquireSlot();
  const TimePoint acquiredAt = now;
  int tries = 0;
  while (election.heldSlot(now)) {
    const ElectionAction action = nextAction();
    if (const auto* write = std::get_if<WriteLease>(&action)) {
      election.onWriteFailed(now, write->slot, unavailable);
      ++tries;
    }
  }
  CHECK_TRUE(now - acquiredAt >= options.leaseTime);
  CHECK_TRUE(tries > 3);
  CHECK_TRUE(tries < 30);
}

TEST(ReaderElection, FormerHolderReacquiresTheLeaseSoonAfterALongOutage) {
  acquireSlot();
  const TimePoint outageEnd = now + 60s;
  while (now < outageEnd) {
    const ElectionAction action = nextAction();
    if (std::holds_alternative<ReadLease>(action)) {
      election.onReadFailed(now, 0, unavailable);
    } else {
      election.onWriteFailed(now, 0, unavailable);
    }
  }
  CHECK_FALSE(election.heldSlot(now).has_value());
  expectRead();
  // The last failed attempt was at most one delay after the end of the outage.
  CHECK_TRUE(now - outageEnd <= 2 * options.renewRetry.maxDelay);
  election.onRead(now, 0, leaseOf(1, 10));
  const WriteLease acquisition = expectWrite();
  CHECK_EQUAL(10U, acquisition.expectedVersion);
  election.onWritten(now, acquisition, 11);
  CHECK_TRUE(election.heldSlot(now) == uint8_t{0});
}

TEST(ReaderElection, FormerHolderThatFindsAnotherHolderPollsAsACandidate) {
  acquireSlot();
  ElectionAction action = nextAction();
  while (std::holds_alternative<WriteLease>(action)) {
    election.onWriteFailed(now, 0, unavailable);
    action = nextAction();
  }
  CHECK_FALSE(election.heldSlot(now).has_value());
  election.onRead(now, 0, leaseOf(2, 11));
  const TimePoint observedAt = now;
  expectRead();
  CHECK_TRUE(now - observedAt >= options.minPollInterval);
}

TEST(ReaderElection, RespectsTheStoresRetryAfter) {
  election.setRanks({0, std::nullopt, std::nullopt}, now);
  expectRead();
  const TimePoint failedAt = now;
  election.onReadFailed(now, 0, {StoreErrorCode::kUnavailable, "", Duration(60s)});
  expectRead();
  CHECK_TRUE(now - failedAt >= 60s);
}

TEST(ReaderElection, ResigningHolderReleasesItsLease) {
  acquireSlot();
  election.resign();
  CHECK_FALSE(election.hasResigned());
  const WriteLease release = expectWrite();
  CHECK_TRUE(release.lease.duration == Duration{0});
  election.onWritten(now, release, 11);
  CHECK_TRUE(election.hasResigned());
  CHECK_TRUE(std::holds_alternative<WaitUntil>(election.next(now)));
}
