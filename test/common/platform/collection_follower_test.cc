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
    follower.onPage(version, "z", false);
  }
};

TEST(CollectionFollower, WatchesFromTheVersionOfTheFirstPageOfAList) {
  const auto first = expectAction<ReadPage>();
  CHECK_TRUE(first.after.empty());
  CHECK_TRUE(first.allowStale);
  CHECK_TRUE(follower.onPage(40, "m", true) == PageOutcome::kPartial);
  const auto second = expectAction<ReadPage>();
  STRCMP_EQUAL("m", second.after.c_str());
  CHECK_FALSE(follower.hasListed());
  CHECK_TRUE(follower.onPage(45, "z", false) == PageOutcome::kStaleListComplete);
  CHECK_TRUE(follower.hasListed());
  LONGS_EQUAL(40, expectAction<WatchFrom>().version);
}

TEST(CollectionFollower, WatchesImmediatelyAfterAnEmptyWatchAndDelaysAfterOneWithEvents) {
  completeList(40);
  follower.onWatch(now, 44, false);
  LONGS_EQUAL(44, expectAction<WatchFrom>().version);
  follower.onWatch(now, 46, true);
  CHECK_TRUE(expectAction<PauseUntil>().at == now + options.changeBatchDelay);
  now += options.changeBatchDelay;
  LONGS_EQUAL(46, expectAction<WatchFrom>().version);
}

TEST(CollectionFollower, DelaysLessWhileChangesAreExpected) {
  options.changeBatchDelay = seconds(1);
  CollectionFollower slowFollower{options, random};
  slowFollower.onPage(40, "z", false);
  slowFollower.expectChanges(now);
  slowFollower.onWatch(now, 44, true);
  const auto soon = std::get<PauseUntil>(slowFollower.next(now)).at;
  CHECK_TRUE(soon == now + options.expectedChangeBatchDelay);
  now += options.expectedChangesDuration;
  slowFollower.onWatch(now, 45, true);
  CHECK_TRUE(std::get<PauseUntil>(slowFollower.next(now)).at == now + seconds(1));
  // A shorter configured delay is kept.
  slowFollower.setChangeBatchDelay(milliseconds(10));
  slowFollower.expectChanges(now);
  slowFollower.onWatch(now, 46, true);
  CHECK_TRUE(std::get<PauseUntil>(slowFollower.next(now)).at == now + milliseconds(10));
}

TEST(CollectionFollower, RequiresACurrentListAfterTheHistoryIsLost) {
  completeList(40);
  fail(StoreErrorCode::kTooOld);
  CHECK_FALSE(follower.isFailing());
  now = expectAction<PauseUntil>().at;
  CHECK_FALSE(expectAction<ReadPage>().allowStale);
  CHECK_TRUE(follower.onPage(90, "z", false) == PageOutcome::kListComplete);
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
  follower.onWatch(now, 41, false);
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
  follower.onPage(40, "m", true);
  fail(StoreErrorCode::kUnavailable);
  now = expectAction<PauseUntil>().at;
  const auto page = expectAction<ReadPage>();
  CHECK_TRUE(page.after.empty());
  CHECK_TRUE(page.allowStale);
}

TEST(CollectionFollower, NeverWatchesFromAnOlderVersionThanKnown) {
  completeList(40);
  follower.onWatch(now, 44, false);
  follower.onWatch(now, 42, false);
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
