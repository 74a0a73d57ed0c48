/** @file Which calls follow which answers, when a collection is followed. */
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
  Action mustBe() {
    const FollowerAction action = follower.next(now);
    CHECK_TRUE(std::holds_alternative<Action>(action));
    return std::get<Action>(action);
  }
  void fail(StoreErrorCode code) {
    follower.onFailure(now, StoreError{code, "", std::nullopt});
  }
  void listWhole(uint64_t version) {
    follower.onPage(version, "z", false);
  }
};

TEST(CollectionFollower, WatchesFromTheVersionOfTheFirstPageOfAList) {
  const auto first = mustBe<ReadPage>();
  CHECK_TRUE(first.after.empty());
  CHECK_TRUE(first.allowStale);
  CHECK_TRUE(follower.onPage(40, "m", true) == PageOutcome::kPartial);
  const auto second = mustBe<ReadPage>();
  STRCMP_EQUAL("m", second.after.c_str());
  CHECK_FALSE(follower.hasListed());
  CHECK_TRUE(follower.onPage(45, "z", false) == PageOutcome::kStaleListComplete);
  CHECK_TRUE(follower.hasListed());
  LONGS_EQUAL(40, mustBe<WatchFrom>().version);
}

TEST(CollectionFollower, WatchesOnAtOnceAfterAWatchWithoutEventsAndGathersAfterOneWithEvents) {
  listWhole(40);
  follower.onWatch(now, 44, false);
  LONGS_EQUAL(44, mustBe<WatchFrom>().version);
  follower.onWatch(now, 46, true);
  CHECK_TRUE(mustBe<PauseUntil>().at == now + options.changeBatchDelay);
  now += options.changeBatchDelay;
  LONGS_EQUAL(46, mustBe<WatchFrom>().version);
}

TEST(CollectionFollower, GathersExpectedChangesForAShorterTime) {
  options.changeBatchDelay = seconds(1);
  CollectionFollower patient{options, random};
  patient.onPage(40, "z", false);
  patient.expectChanges(now);
  patient.onWatch(now, 44, true);
  const auto soon = std::get<PauseUntil>(patient.next(now)).at;
  CHECK_TRUE(soon == now + options.expectedChangeBatchDelay);
  now += options.expectedChangesDuration;
  patient.onWatch(now, 45, true);
  CHECK_TRUE(std::get<PauseUntil>(patient.next(now)).at == now + seconds(1));
  // A time that is short already stays.
  patient.setChangeBatchDelay(milliseconds(10));
  patient.expectChanges(now);
  patient.onWatch(now, 46, true);
  CHECK_TRUE(std::get<PauseUntil>(patient.next(now)).at == now + milliseconds(10));
}

TEST(CollectionFollower, ListsACurrentStateAfterTheHistoryIsLost) {
  listWhole(40);
  fail(StoreErrorCode::kTooOld);
  CHECK_FALSE(follower.isFailing());
  now = mustBe<PauseUntil>().at;
  CHECK_FALSE(mustBe<ReadPage>().allowStale);
  CHECK_TRUE(follower.onPage(90, "z", false) == PageOutcome::kListComplete);
  LONGS_EQUAL(90, follower.listVersion());
  LONGS_EQUAL(90, mustBe<WatchFrom>().version);
}

TEST(CollectionFollower, GoesOnFromItsVersionAfterAFailure) {
  listWhole(40);
  fail(StoreErrorCode::kAnswerLost);
  CHECK_TRUE(follower.isFailing());
  CHECK_TRUE(mustBe<PauseUntil>().at <= now + options.retry.initialDelay);
  now += options.retry.initialDelay;
  LONGS_EQUAL(40, mustBe<WatchFrom>().version);
  follower.onWatch(now, 41, false);
  CHECK_FALSE(follower.isFailing());
}

TEST(CollectionFollower, NeverPausesLongerThanTheLongestWaitsOfBackOffAndBudget) {
  listWhole(40);
  for (int tries = 0; tries < 100; ++tries) {
    fail(StoreErrorCode::kUnavailable);
    const TimePoint next = mustBe<PauseUntil>().at;
    CHECK_TRUE(next > now);
    CHECK_TRUE(next <= now + options.retry.maxDelay + options.retryBudget.refill);
    now = next;
  }
}

TEST(CollectionFollower, BeginsAListAnewWhenALaterPageFails) {
  follower.onPage(40, "m", true);
  fail(StoreErrorCode::kUnavailable);
  now = mustBe<PauseUntil>().at;
  const auto page = mustBe<ReadPage>();
  CHECK_TRUE(page.after.empty());
  CHECK_TRUE(page.allowStale);
}

TEST(CollectionFollower, NeverWatchesFromAnOlderVersionThanItHas) {
  listWhole(40);
  follower.onWatch(now, 44, false);
  follower.onWatch(now, 42, false);
  LONGS_EQUAL(44, mustBe<WatchFrom>().version);
}

TEST(CollectionFollower, NeedsNoListWhereAPeerToldEverything) {
  CHECK_TRUE(follower.needsPage());
  follower.beginAt(70);
  CHECK_FALSE(follower.needsPage());
  CHECK_TRUE(follower.hasListed());
  LONGS_EQUAL(70, mustBe<WatchFrom>().version);
  // Its history may be gone; then everything is listed as it is now.
  fail(StoreErrorCode::kTooOld);
  now = mustBe<PauseUntil>().at;
  CHECK_FALSE(mustBe<ReadPage>().allowStale);
}

TEST(CollectionFollower, DoesNotWaitOutItsBackOffOnceTheStoreIsKnownToAnswer) {
  fail(StoreErrorCode::kUnavailable);
  mustBe<PauseUntil>();
  follower.retryNow();
  mustBe<ReadPage>();
}
