/** @file Allotments of one node, and of all nodes together, for hosts that have just started. */
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

  /**
   * @return the number of flows that a node sends to a host during its cold phase if it uses its
   * whole allotment.
   */
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

/**
 * 74 nodes in three zones, for any random rounding: the host can handle 8 x 1.5 + 5 requests per
 * second.
 */
TEST(ColdHosts, AllNodesTogetherStayBelowTheHostLimit) {
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

TEST(ColdHosts, SpreadsFlowsOverTheFirstSecond) {
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

TEST(ColdHosts, AcceptFlowsFreelyAfterTheColdPhase) {
  ColdAllotment allotment;
  CHECK_TRUE(allotment.canTakeFlow(now));
  allotment.begin(now, seconds(2), 0.0, random);
  CHECK_FALSE(allotment.canTakeFlow(now + milliseconds(1999)));
  CHECK_TRUE(allotment.canTakeFlow(now + seconds(2)));
  // A repeated announcement of the same cold phase grants no second allotment and can only extend
  // the phase.
  allotment.begin(now, seconds(2), 1.0, random);
  allotment.onPlaced(now + seconds(1));
  allotment.begin(now + seconds(1), milliseconds(1200), 1.0, random);
  CHECK_FALSE(allotment.canTakeFlow(now + milliseconds(2150)));
  CHECK_TRUE(allotment.canTakeFlow(now + milliseconds(2200)));
}

TEST(ColdHosts, AssumesAMinimumNumberOfNodes) {
  DOUBLES_EQUAL(0.3 * 17 / 8, coldFlowsPerNode(options, limit, {1, 1}, true), 1e-9);
  CHECK_TRUE(coldFlowsPerNode(options, limit, {1, 1}, false) <= 0.05 * 17 / 8);
}
