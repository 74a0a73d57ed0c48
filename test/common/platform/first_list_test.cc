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
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(500));
  list.onStoreRecovered(start + seconds(3));
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(3500));
}

TEST(FirstList, IsLostWhereALaterProbeIsAnswered) {
  list.onRequested(start);
  CHECK_FALSE(list.isLost(start + milliseconds(399)));
  CHECK_TRUE(list.isLost(start + milliseconds(400)));
}

TEST(FirstList, ThatEndedIsNotLost) {
  CHECK_FALSE(list.isLost(start + seconds(9)));
  list.onRequested(start);
  list.onEnded();
  CHECK_FALSE(list.isLost(start + seconds(9)));
}

TEST(FirstList, IsGivenTwiceTheTimeAfterEachThatWasGivenUp) {
  Duration given = options.lostAfter;
  TimePoint now = start;
  for (int tries = 0; tries < 4; ++tries) {
    list.onRequested(now);
    CHECK_FALSE(list.isLost(now + given - milliseconds(1)));
    CHECK_TRUE(list.isLost(now + given));
    now += given;
    given *= 2;
  }
}

TEST(FirstList, IsAskedForSeldomWhileProbesGoUnanswered) {
  const TimePoint first = start + seconds(1);
  CHECK_TRUE(list.earliestRequestWhileUnresponsive(first) == first);
  list.onRequested(first);
  list.onEnded();
  CHECK_TRUE(list.earliestRequestWhileUnresponsive(first) == first + seconds(2));
}

/** Where no peer tells anything a zone's nodes list by turns, not together. */
TEST(FirstList, OpensLaterForNodesThatComeAfterOthers) {
  list.setFallbackStep(3);
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(2000));
  list.setFallbackStep(1);
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(1000));
  list.onStoreRecovered(start + seconds(3));
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(4000));
}

TEST(FirstList, WaitsWhileAPeerGetsOnButNotForever) {
  TimePoint now = start;
  while (now < start + options.maxPeerWait - options.peerWait) {
    now += milliseconds(400);
    list.onPeerProgress(now);
    CHECK_TRUE(list.earliestRequestAt() == std::min(now + options.peerWait, start + options.maxPeerWait));
  }
  list.onPeerProgress(start + seconds(60));
  CHECK_TRUE(list.earliestRequestAt() == start + options.maxPeerWait);
  // What an earlier peer told is not taken back by a later one.
  list.onPeerProgress(start);
  CHECK_TRUE(list.earliestRequestAt() == start + options.maxPeerWait);
}
