/** @file Scheduling of a collection's first list, and detection of its loss. */
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

TEST(FirstList, WaitsForPeersAfterStartAndStoreRecovery) {
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(500));
  list.onStoreRecovered(start + seconds(3));
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(3500));
}

TEST(FirstList, IsLostWhenALaterProbeIsAnswered) {
  list.onRequested(start);
  CHECK_FALSE(list.isLost(start + milliseconds(399)));
  CHECK_TRUE(list.isLost(start + milliseconds(400)));
}

TEST(FirstList, IsNotLostAfterItEnded) {
  CHECK_FALSE(list.isLost(start + seconds(9)));
  list.onRequested(start);
  list.onEnded();
  CHECK_FALSE(list.isLost(start + seconds(9)));
}

TEST(FirstList, DoublesItsTimeoutAfterEachLostList) {
  Duration timeout = options.lostAfter;
  TimePoint now = start;
  for (int tries = 0; tries < 4; ++tries) {
    list.onRequested(now);
    CHECK_FALSE(list.isLost(now + timeout - milliseconds(1)));
    CHECK_TRUE(list.isLost(now + timeout));
    now += timeout;
    timeout *= 2;
  }
}

TEST(FirstList, IsRequestedRarelyWhileProbesAreUnanswered) {
  const TimePoint first = start + seconds(1);
  CHECK_TRUE(list.earliestRequestWhileUnresponsive(first) == first);
  list.onRequested(first);
  list.onEnded();
  CHECK_TRUE(list.earliestRequestWhileUnresponsive(first) == first + seconds(2));
}

/** Guards against all nodes of a zone listing at once when no peer supplies data. */
TEST(FirstList, IsRequestedLaterAtHigherFallbackSteps) {
  list.setFallbackStep(3);
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(2000));
  list.setFallbackStep(1);
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(1000));
  list.onStoreRecovered(start + seconds(3));
  CHECK_TRUE(list.earliestRequestAt() == start + milliseconds(4000));
}

TEST(FirstList, WaitsForPeerProgressUpToAMaximum) {
  TimePoint now = start;
  while (now < start + options.maxPeerWait - options.peerWait) {
    now += milliseconds(400);
    list.onPeerProgress(now);
    CHECK_TRUE(list.earliestRequestAt() ==
               std::min(now + options.peerWait, start + options.maxPeerWait));
  }
  list.onPeerProgress(start + seconds(60));
  CHECK_TRUE(list.earliestRequestAt() == start + options.maxPeerWait);
  // A later report with an earlier time does not shorten the wait.
  list.onPeerProgress(start);
  CHECK_TRUE(list.earliestRequestAt() == start + options.maxPeerWait);
}
