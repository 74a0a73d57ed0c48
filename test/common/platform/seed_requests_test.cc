/** @file Which seed a starting node contacts while the store is unresponsive, and when. */
#include "common/platform/seed_requests.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(SeedRequests) {
  const TimePoint start{seconds(100)};
  const TimePoint nextProbe{start + milliseconds(400)};
  SeedRequests requests;
};

TEST(SeedRequests, ContactsOneSeedWithEachProbe) {
  CHECK_FALSE(requests.isDue(start, nextProbe));
  CHECK_TRUE(requests.isDue(nextProbe, nextProbe));
  CHECK_FALSE(requests.nextRequestAt(true).has_value());
}

TEST(SeedRequests, ContactsAPreparingSeedAgainSoon) {
  requests.onPreparing(start);
  const TimePoint prepared = start + SeedRequests::kPreparation;
  CHECK_FALSE(requests.isDue(start, nextProbe));
  CHECK_TRUE(requests.isDue(prepared, nextProbe));
  CHECK_TRUE(requests.nextRequestAt(true) == prepared);
  LONGS_EQUAL(0, requests.seed());
}

/** Guards against a caller that repeatedly wakes up for a request that is never sent. */
TEST(SeedRequests, NoRequestIsDueWhenNoAnswerIsNeeded) {
  requests.onPreparing(start);
  CHECK_FALSE(requests.nextRequestAt(false).has_value());
  requests.onAnswered();
  CHECK_FALSE(requests.nextRequestAt(true).has_value());
}

TEST(SeedRequests, ContactsTheNextSeedWithTheNextProbeAfterAFailure) {
  requests.onPreparing(start);
  requests.onFailed();
  LONGS_EQUAL(1, requests.seed());
  CHECK_FALSE(requests.isDue(start + SeedRequests::kPreparation, nextProbe));
}
