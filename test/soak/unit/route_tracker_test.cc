/** @file Tests of the detection of outdated configurations by probes. */
#include "test/soak/world/route_tracker.h"

#include "test/support/without_leak_detection.h"

namespace umberhold::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kPort = 10000;
constexpr size_t kNode = 2;

}  // namespace

TEST_GROUP_BASE(RouteTracker, test::WithoutLeakDetection) {
  DeploymentPlan plan{20};
  TimePoint now{seconds(100)};
  ViolationRecord promises{now};
  DisturbanceTracker disturbances{plan.bounds().settleTime};
  RouteTracker tracker{plan, {{"alerts", {1, 1}, true, {{"dispatch", 1}}}}, promises, disturbances};
  RandomSource random{7};

  void store(int versions) {
    for (int count = 0; count < versions; ++count) {
      tracker.nextVersion(0);
      tracker.onAcknowledged(now);
    }
  }
  /** Starts probes until one targets the marker of the version. */
  void probeFor(uint64_t version) {
    for (int tries = 0; tries < 1000; ++tries) {
      const auto marker = tracker.startProbe(now, kNode, kPort, random);
      if (marker && marker->port == 2000 + version) {
        return;
      }
    }
    FAIL("no probe targeted the marker");
  }
  uint64_t late() const {
    return promises.count(Promise::kConfigurationInTime);
  }
  uint64_t older() const {
    return promises.count(Promise::kNoOlderConfiguration);
  }
};

TEST(RouteTracker, LateRefusalShowsOutdatedConfiguration) {
  store(1);
  now += seconds(2);
  probeFor(1);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(0, late());
  now += seconds(2);
  probeFor(1);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(1, late());
}

TEST(RouteTracker, LateOpeningOfADroppedRouteShowsOutdatedConfiguration) {
  store(4);
  now += seconds(4);
  probeFor(1);
  tracker.onAccepted(now, kPort);
  LONGS_EQUAL(1, late());
  probeFor(4);
  tracker.onAccepted(now, kPort);
  LONGS_EQUAL(1, late());
}

TEST(RouteTracker, NodeMustNotRevertToAnOlderVersion) {
  store(2);
  probeFor(2);
  tracker.onAccepted(now, kPort);
  now += milliseconds(200);
  probeFor(2);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(0, older());
  now += milliseconds(200);
  probeFor(2);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(1, older());
}

TEST(RouteTracker, RestartedProcessMayUseAnOlderVersion) {
  store(2);
  probeFor(2);
  tracker.onAccepted(now, kPort);
  now += seconds(1);
  probeFor(2);
  tracker.onNodeStarted(kNode);
  tracker.onRefused(now, kPort);
  probeFor(2);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(0, older() + late());
}

TEST(RouteTracker, DisturbedNodeIsNotEvaluated) {
  store(1);
  now += seconds(10);
  disturbances.recordInstant(plan.nodes()[kNode].name, now - seconds(3));
  probeFor(1);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(0, late());
  now += seconds(2);
  probeFor(1);
  tracker.onRefused(now, kPort);
  LONGS_EQUAL(1, late());
}

TEST(RouteTracker, OnlyServicesOfTheRouteMayRunItsRequests) {
  CHECK_TRUE(tracker.mayRun({1, 1}, "dispatch"));
  CHECK_FALSE(tracker.mayRun({1, 1}, "mapstore"));
}

TEST(RouteTracker, AReturningRouteIsPresentSinceItsVersionWasAcknowledged) {
  const Endpoint route{1, 1};
  store(1);
  CHECK_TRUE(tracker.isPresentSince(route, now));
  tracker.setPresent(0, false);
  CHECK_TRUE(tracker.nextVersion(0).find("alerts") == std::string::npos);
  CHECK_FALSE(tracker.isPresentSince(route, now));
  tracker.setPresent(0, true);
  CHECK_TRUE(tracker.nextVersion(0).find("alerts") != std::string::npos);
  CHECK_FALSE(tracker.isPresentSince(route, now));
  now += seconds(1);
  tracker.onAcknowledged(now);
  CHECK_FALSE(tracker.isPresentSince(route, now - milliseconds(1)));
  CHECK_TRUE(tracker.isPresentSince(route, now));
}

}  // namespace umberhold::soak
