/** @file When the first list of a collection is asked for, and when it counts as lost. */
#include "common/platform/first_list.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(FirstList) {
  FirstListOptions options{milliseconds(500), milliseconds(400)};
  const TimePoint start{seconds(100)};
  FirstList list{start, options};
};

TEST(FirstList, WaitsForPeersFromTheStartAndFromTheStoresReturn) {
  CHECK_TRUE(list.opensAt() == start + milliseconds(500));
  list.onStoreReturned(start + seconds(3));
  CHECK_TRUE(list.opensAt() == start + milliseconds(3500));
}

TEST(FirstList, IsLostWhereALaterProbeIsAnswered) {
  list.onAsked(start);
  CHECK_FALSE(list.isLost(start + milliseconds(399)));
  CHECK_TRUE(list.isLost(start + milliseconds(400)));
}

TEST(FirstList, ThatEndedIsNotLost) {
  CHECK_FALSE(list.isLost(start + seconds(9)));
  list.onAsked(start);
  list.onEnded();
  CHECK_FALSE(list.isLost(start + seconds(9)));
}

TEST(FirstList, IsGivenTwiceTheTimeAfterEachThatWasGivenUp) {
  Duration given = options.lostAfter;
  TimePoint now = start;
  for (int tries = 0; tries < 4; ++tries) {
    list.onAsked(now);
    CHECK_FALSE(list.isLost(now + given - milliseconds(1)));
    CHECK_TRUE(list.isLost(now + given));
    now += given;
    given *= 2;
  }
}

TEST(FirstList, IsAskedForSeldomWhileProbesGoUnanswered) {
  const TimePoint first = start + seconds(1);
  CHECK_TRUE(list.opensInSilence(first) == first);
  list.onAsked(first);
  list.onEnded();
  CHECK_TRUE(list.opensInSilence(first) == first + seconds(2));
}

/** Where no peer tells anything a zone's nodes list by turns, not together. */
TEST(FirstList, OpensLaterForNodesThatComeAfterOthers) {
  list.setStep(3);
  CHECK_TRUE(list.opensAt() == start + milliseconds(2000));
  list.setStep(1);
  CHECK_TRUE(list.opensAt() == start + milliseconds(1000));
  list.onStoreReturned(start + seconds(3));
  CHECK_TRUE(list.opensAt() == start + milliseconds(4000));
}

TEST(FirstList, WaitsWhileAPeerGetsOnButNotForever) {
  TimePoint now = start;
  while (now < start + options.longestPatience - options.patience) {
    now += milliseconds(400);
    list.onPeerProgress(now);
    CHECK_TRUE(list.opensAt() == std::min(now + options.patience, start + options.longestPatience));
  }
  list.onPeerProgress(start + seconds(60));
  CHECK_TRUE(list.opensAt() == start + options.longestPatience);
  // What an earlier peer told is not taken back by a later one.
  list.onPeerProgress(start);
  CHECK_TRUE(list.opensAt() == start + options.longestPatience);
}
