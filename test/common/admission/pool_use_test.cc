/** @file Tests of a node's use of a pool. */
#include "common/admission/pool_use.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PoolUse) {
  PoolUse use;
  TimePoint now{seconds(1000)};

  /** Adds `perSecond` requests per second of 100 ms each, for five seconds. */
  void load(uint32_t priority, int perSecond, bool opened = false) {
    for (int request = 0; request < 5 * perSecond; ++request) {
      now += milliseconds(1000 / perSecond);
      use.onEnded(now, {priority, milliseconds(100), milliseconds(40), opened});
    }
  }
};

TEST(PoolUse, AppliesLittlesLaw) {
  load(1, 20);
  DOUBLES_EQUAL(2.0, use.underWay(now), 0.2);
  DOUBLES_EQUAL(2.0, use.onOpenFlows(now), 0.2);
  CHECK_TRUE(use.serviceTime(now) == milliseconds(40));
}

TEST(PoolUse, FirstRequestsOfFlowsAreNotOnOpenFlows) {
  load(1, 20, true);
  DOUBLES_EQUAL(2.0, use.underWay(now), 0.2);
  DOUBLES_EQUAL(0.0, use.onOpenFlows(now), 1e-9);
}

TEST(PoolUse, MeasuresTheUseOfMoreUrgentServices) {
  CHECK_FALSE(use.yields(now, 2));
  load(1, 20);
  CHECK_TRUE(use.yields(now, 2));
  CHECK_FALSE(use.yields(now, 1));
  DOUBLES_EQUAL(2.0, use.underWayMoreUrgent(now, 2), 0.2);
  DOUBLES_EQUAL(0.0, use.underWayMoreUrgent(now, 1), 1e-9);
}

TEST(PoolUse, DoesNotYieldToAServiceWithVeryFewRequests) {
  for (int request = 0; request < 500; ++request) {
    now += milliseconds(10);
    use.onEnded(now, {2, milliseconds(100), milliseconds(40), false});
    if (request % 100 == 0) {
      use.onEnded(now, {1, milliseconds(100), milliseconds(40), true});
    }
  }
  CHECK_FALSE(use.yields(now, 2));
}

TEST(PoolUse, RequestsOfLessUrgentServicesDoNotCountForMoreUrgentOnes) {
  load(2, 20);
  DOUBLES_EQUAL(2.0, use.onOpenFlows(now, 2), 0.2);
  DOUBLES_EQUAL(0.0, use.onOpenFlows(now, 1), 1e-9);
}

TEST(PoolUse, OldRequestsExpire) {
  load(1, 20);
  now += seconds(10);
  DOUBLES_EQUAL(0.0, use.underWay(now), 0.01);
  CHECK_TRUE(use.serviceTime(now) == Duration{0});
}
