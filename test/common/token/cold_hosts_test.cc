/** @file What one node, and all nodes together, give to hosts that have just started. */
#include "common/token/cold_hosts.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ColdHosts) {
  RandomSource random{5};
  ColdHostOptions options{1.5, 5.0};
  ColdLimit limit{8.0, 2000};
  TimePoint now{seconds(1000)};

  /** @return flows that a node gives to a host in its cold time, taking each that it may. */
  int taken(double flows) {
    ColdAllotment allotment;
    allotment.begin(now, seconds(2), flows, random);
    int count = 0;
    for (TimePoint at = now; at < now + seconds(2); at += milliseconds(10)) {
      if (allotment.canTakeFlow(at)) {
        allotment.onPlaced(at);
        ++count;
      }
    }
    return count;
  }
};

/** 74 nodes in three zones, whatever the lots: the host bears 8 x 1.5 + 5 requests in a second. */
TEST(ColdHosts, AllNodesTogetherStayBelowWhatAHostBears) {
  const SendingNodes nodes{25, 3};
  const double own = coldFlowsPerNode(options, limit, nodes, true);
  const double other = coldFlowsPerNode(options, limit, nodes, false);
  int most = 0;
  int sum = 0;
  constexpr int kHosts = 500;
  for (int host = 0; host < kHosts; ++host) {
    int flows = 0;
    for (int node = 0; node < 25; ++node) {
      flows += taken(own);
    }
    for (int node = 0; node < 50; ++node) {
      flows += taken(other);
    }
    most = std::max(most, flows);
    sum += flows;
  }
  CHECK_TRUE(most <= 17);
  CHECK_TRUE(sum / kHosts >= 4);
}

TEST(ColdHosts, ANodeOfFewSpreadsItsFlows) {
  ColdAllotment allotment;
  allotment.begin(now, seconds(2), 4.0, random);
  int inFirstQuarter = 0;
  for (TimePoint at = now; at < now + milliseconds(250); at += milliseconds(1)) {
    if (allotment.canTakeFlow(at)) {
      allotment.onPlaced(at);
      ++inFirstQuarter;
    }
  }
  CHECK_TRUE(inFirstQuarter <= 2);
}

TEST(ColdHosts, AreUsualOnceTheirTimeIsOver) {
  ColdAllotment allotment;
  CHECK_TRUE(allotment.canTakeFlow(now));
  allotment.begin(now, seconds(2), 0.0, random);
  CHECK_FALSE(allotment.canTakeFlow(now + milliseconds(1999)));
  CHECK_TRUE(allotment.canTakeFlow(now + seconds(2)));
  // News of the same cold time gives no second allotment, and may only prolong it.
  allotment.begin(now, seconds(2), 1.0, random);
  allotment.onPlaced(now + seconds(1));
  allotment.begin(now + seconds(1), milliseconds(1200), 1.0, random);
  CHECK_FALSE(allotment.canTakeFlow(now + milliseconds(2150)));
  CHECK_TRUE(allotment.canTakeFlow(now + milliseconds(2200)));
}

TEST(ColdHosts, ANodeThatKnowsNobodyReckonsWithOthers) {
  DOUBLES_EQUAL(0.3 * 17 / 8, coldFlowsPerNode(options, limit, {1, 1}, true), 1e-9);
  CHECK_TRUE(coldFlowsPerNode(options, limit, {1, 1}, false) <= 0.05 * 17 / 8);
}
