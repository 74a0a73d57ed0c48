/** @file Sequence of calls that a follower makes, depending on their results. */
#include "common/platform/collection_follower.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(CollectionFollower) {
  FollowerOptions options;
  RandomSource random{7};
  CollectionFollower follower{options, random};
  TimePoint now{seconds(100)};

  template <class Action>
  Action expectAction() {
    const FollowerAction action = follower.next(now);
    CHECK_TRUE(std::holds_alternative<Action>(action));
    return std::get<Action>(action);
  }
  void fail(StoreErrorCode code) {
    follower.onFailure(now, StoreError{code, "", std::nullopt});
  }
  void completeList(uint64_t version) {
    follower.onPage(now, version, "z", false);
  }
  /** Reports the answer to the pending watch, which arrives after the time `waited`. */
  void answerWatch(CollectionFollower & asked, uint64_t version, bool hadEvents,
                   Duration waited = Duration{0}) {
    const TimePoint sentAt = now;
    const FollowerAction action = asked.next(now);
    const auto* pending = std::get_if<WatchFrom>(&action);
    const WatchFrom watch = pending == nullptr ? WatchFrom{} : *pending;
    now += waited;
    asked.onWatch(sentAt, now, watch, version, hadEvents);
  }
  void answerWatch(uint64_t version, bool hadEvents, Duration waited = Duration{0}) {
    answerWatch(follower, version, hadEvents, waited);
  }
};

TEST(CollectionFollower, WatchesFromTheVersionOfTheFirstPageOfAList) {
  const auto first = expectAction<ReadPage>();
  CHECK_TRUE(first.after.empty());
  CHECK_TRUE(first.allowStale);
  CHECK_TRUE(follower.onPage(now, 40, "m", true) == PageOutcome::kPartial);
  const auto second = expectAction<ReadPage>();
  STRCMP_EQUAL("m", second.after.c_str());
  CHECK_FALSE(follower.hasListed());
  CHECK_TRUE(follower.onPage(now, 45, "z", false) == PageOutcome::kStaleListComplete);
  CHECK_TRUE(follower.hasListed());
  LONGS_EQUAL(40, expectAction<WatchFrom>().version);
}

/** Guards against objects that no watch brings: pages of a stale list may come from any replica. */
TEST(CollectionFollower, WatchesFromTheOldestPageOfAList) {
  follower.onPage(now, 40, "m", true);
  follower.onPage(now, 36, "s", true);
  follower.onPage(now, 45, "z", false);
  LONGS_EQUAL(36, expectAction<WatchFrom>().version);
}

TEST(CollectionFollower, WatchesImmediatelyAfterAnEmptyWatchAndDelaysAfterOneWithEvents) {
  completeList(40);
  answerWatch(44, false);
  LONGS_EQUAL(44, expectAction<WatchFrom>().version);
  answerWatch(46, true);
  CHECK_TRUE(expectAction<PauseUntil>().at == now + options.changeBatchDelay);
  now += options.changeBatchDelay;
  LONGS_EQUAL(46, expectAction<WatchFrom>().version);
}

TEST(CollectionFollower, DelaysLessWhileChangesAreExpected) {
  options.changeBatchDelay = seconds(1);
  CollectionFollower slowFollower{options, random};
  slowFollower.onPage(now, 40, "z", false);
  slowFollower.expectChanges(now);
  answerWatch(slowFollower, 44, true);
  const auto soon = std::get<PauseUntil>(slowFollower.next(now)).at;
  CHECK_TRUE(soon == now + options.expectedChangeBatchDelay);
  now += options.expectedChangesDuration;
  answerWatch(slowFollower, 45, true);
  CHECK_TRUE(std::get<PauseUntil>(slowFollower.next(now)).at == now + seconds(1));
  // A shorter configured delay is kept.
  slowFollower.setChangeBatchDelay(milliseconds(10));
  slowFollower.expectChanges(now);
  answerWatch(slowFollower, 46, true);
  CHECK_TRUE(std::get<PauseUntil>(slowFollower.next(now)).at == now + milliseconds(10));
}

TEST(CollectionFollower, RequiresACurrentListAfterTheHistoryIsLost) {
  completeList(40);
  fail(StoreErrorCode::kTooOld);
  CHECK_FALSE(follower.isFailing());
  now = expectAction<PauseUntil>().at;
  CHECK_FALSE(expectAction<ReadPage>().allowStale);
  CHECK_TRUE(follower.onPage(now, 90, "z", false) == PageOutcome::kListComplete);
  LONGS_EQUAL(90, follower.listVersion());
  LONGS_EQUAL(90, expectAction<WatchFrom>().version);
}

TEST(CollectionFollower, ResumesTheWatchAtItsVersionAfterAFailure) {
  completeList(40);
  fail(StoreErrorCode::kAnswerLost);
  CHECK_TRUE(follower.isFailing());
  CHECK_TRUE(expectAction<PauseUntil>().at <= now + options.retry.initialDelay);
  now += options.retry.initialDelay;
  LONGS_EQUAL(40, expectAction<WatchFrom>().version);
  answerWatch(41, false);
  CHECK_FALSE(follower.isFailing());
}

TEST(CollectionFollower, NeverPausesLongerThanMaximumBackOffPlusBudgetRefill) {
  completeList(40);
  for (int tries = 0; tries < 100; ++tries) {
    fail(StoreErrorCode::kUnavailable);
    const TimePoint next = expectAction<PauseUntil>().at;
    CHECK_TRUE(next > now);
    CHECK_TRUE(next <= now + options.retry.maxDelay + options.retryBudget.refill);
    now = next;
  }
}

TEST(CollectionFollower, RestartsTheListWhenALaterPageFails) {
  follower.onPage(now, 40, "m", true);
  fail(StoreErrorCode::kUnavailable);
  now = expectAction<PauseUntil>().at;
  const auto page = expectAction<ReadPage>();
  CHECK_TRUE(page.after.empty());
  CHECK_TRUE(page.allowStale);
}

TEST(CollectionFollower, NeverWatchesFromAnOlderVersionThanKnown) {
  completeList(40);
  answerWatch(44, false);
  answerWatch(42, false);
  LONGS_EQUAL(44, expectAction<WatchFrom>().version);
}

TEST(CollectionFollower, NeedsNoListAfterAPeerSuppliedTheState) {
  CHECK_TRUE(follower.needsPage());
  follower.beginAt(70);
  CHECK_FALSE(follower.needsPage());
  CHECK_TRUE(follower.hasListed());
  LONGS_EQUAL(70, expectAction<WatchFrom>().version);
  // The store's history may not reach back that far; then everything is listed as current.
  fail(StoreErrorCode::kTooOld);
  now = expectAction<PauseUntil>().at;
  CHECK_FALSE(expectAction<ReadPage>().allowStale);
}

TEST(CollectionFollower, EndsTheBackOffWhenTheStoreIsKnownToAnswer) {
  fail(StoreErrorCode::kUnavailable);
  expectAction<PauseUntil>();
  follower.retryNow();
  expectAction<ReadPage>();
}

/** Guards against changes missed for as long as a lost watch waits. */
TEST(CollectionFollower, AWatchEndsBeforeTheKnowledgeIsOlderThanItsLimit) {
  completeList(40);
  // A stale list is no knowledge: the first watch is answered at once.
  CHECK_FALSE(follower.knownAsOf().has_value());
  CHECK_TRUE(expectAction<WatchFrom>().longPollTimeout == Duration{0});
  const TimePoint firstSentAt = now;
  answerWatch(40, false, milliseconds(4));
  CHECK_TRUE(*follower.knownAsOf() == firstSentAt);
  CHECK_TRUE(expectAction<WatchFrom>().longPollTimeout ==
             options.maxKnowledgeAge - milliseconds(4));
  // An answer that came early may have been on its way for long.
  const TimePoint sentAt = now;
  answerWatch(41, true, seconds(20));
  CHECK_TRUE(*follower.knownAsOf() == sentAt);
  now += options.changeBatchDelay;
  CHECK_TRUE(expectAction<WatchFrom>().longPollTimeout ==
             options.maxKnowledgeAge - seconds(20) - options.changeBatchDelay);
  // A watch without changes was held by the store until its end.
  const TimePoint lastSentAt = now;
  const Duration waited = expectAction<WatchFrom>().longPollTimeout;
  answerWatch(41, false, waited + milliseconds(30));
  CHECK_TRUE(*follower.knownAsOf() == lastSentAt + waited);
  follower.distrustKnowledge();
  CHECK_TRUE(expectAction<WatchFrom>().longPollTimeout == Duration{0});
}

TEST(CollectionFollower, APeersVersionIsNoKnowledgeOfItsOwn) {
  follower.beginAt(70);
  follower.onPeerVersion(80);
  CHECK_FALSE(follower.knownAsOf().has_value());
  LONGS_EQUAL(80, expectAction<WatchFrom>().version);
  CHECK_TRUE(expectAction<WatchFrom>().longPollTimeout == Duration{0});
}

TEST(CollectionFollower, ACurrentListIsKnowledgeAsOfItsFirstPage) {
  completeList(40);
  fail(StoreErrorCode::kTooOld);
  now = expectAction<PauseUntil>().at;
  const TimePoint sentAt = now;
  follower.onPage(now, 90, "m", true);
  now += seconds(1);
  follower.onPage(now, 91, "z", false);
  CHECK_TRUE(*follower.knownAsOf() == sentAt);
}

TEST(CollectionFollower, RepeatsAnOverdueCallAtOnceAndASecondOneAsAFailure) {
  const StoreError late{StoreErrorCode::kAnswerLost, "", std::nullopt};
  completeList(40);
  CHECK_TRUE(expectAction<WatchFrom>().answerTolerance == options.answerTolerance);
  follower.onOverdue(now, late);
  CHECK_FALSE(follower.isFailing());
  // A store that is slower than usual must get its answer through.
  CHECK_TRUE(expectAction<WatchFrom>().answerTolerance == 2 * options.answerTolerance);
  follower.onOverdue(now, late);
  CHECK_TRUE(follower.isFailing());
  now = expectAction<PauseUntil>().at;
  for (int calls = 0; calls < 10; ++calls) {
    follower.onOverdue(now, late);
    now = expectAction<PauseUntil>().at;
  }
  CHECK_TRUE(expectAction<WatchFrom>().answerTolerance == options.maxAnswerTolerance);
  answerWatch(40, false);
  CHECK_TRUE(expectAction<WatchFrom>().answerTolerance == options.answerTolerance);
}
