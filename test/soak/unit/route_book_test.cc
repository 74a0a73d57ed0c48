/** @file When a probe shows that a node uses a configuration that is too old. */
#include "test/soak/world/route_book.h"

#include "test/support/without_leak_detection.h"

namespace umberhold::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kPort = 10000;
constexpr size_t kNode = 2;

}  // namespace

TEST_GROUP_BASE(RouteBook, test::WithoutLeakDetection) {
  DeploymentPlan plan{20};
  TimePoint now{seconds(100)};
  PromiseBook promises{now};
  ContactRecord contact{plan.bounds().contact};
  RouteBook book{plan, {{"alerts", {1, 1}, true, {{"dispatch", 1}}}}, promises, contact};
  RandomSource random{7};

  void store(int versions) {
    for (int count = 0; count < versions; ++count) {
      book.nextVersion(0);
      book.onAcknowledged(now);
    }
  }
  /** Probes until the marker of the version is asked for. */
  void probeFor(uint64_t version) {
    for (int tries = 0; tries < 1000; ++tries) {
      const auto marker = book.startProbe(now, kNode, kPort, random);
      if (marker && marker->port == 2000 + version) {
        return;
      }
    }
    FAIL("no such marker");
  }
  uint64_t late() const {
    return promises.count(Promise::kConfigurationInTime);
  }
  uint64_t older() const {
    return promises.count(Promise::kNoOlderConfiguration);
  }
};

TEST(RouteBook, ARefusalLongAfterTheVersionIsTooLate) {
  store(1);
  now += seconds(2);
  probeFor(1);
  book.onRefused(now, kPort);
  LONGS_EQUAL(0, late());
  now += seconds(2);
  probeFor(1);
  book.onRefused(now, kPort);
  LONGS_EQUAL(1, late());
}

TEST(RouteBook, AnOpeningOfADroppedRouteIsTooLate) {
  store(4);
  now += seconds(4);
  probeFor(1);
  book.onAccepted(now, kPort);
  LONGS_EQUAL(1, late());
  probeFor(4);
  book.onAccepted(now, kPort);
  LONGS_EQUAL(1, late());
}

TEST(RouteBook, ANodeThatShowedAVersionMustNotFallBehindIt) {
  store(2);
  probeFor(2);
  book.onAccepted(now, kPort);
  now += milliseconds(200);
  probeFor(2);
  book.onRefused(now, kPort);
  LONGS_EQUAL(0, older());
  now += milliseconds(200);
  probeFor(2);
  book.onRefused(now, kPort);
  LONGS_EQUAL(1, older());
}

TEST(RouteBook, ANewProcessMayKnowLess) {
  store(2);
  probeFor(2);
  book.onAccepted(now, kPort);
  now += seconds(1);
  probeFor(2);
  book.onNodeStarted(kNode);
  book.onRefused(now, kPort);
  probeFor(2);
  book.onRefused(now, kPort);
  LONGS_EQUAL(0, older() + late());
}

TEST(RouteBook, ANodeInTroubleIsNotJudged) {
  store(1);
  now += seconds(10);
  contact.strike(plan.nodes()[kNode].name, now - seconds(3));
  probeFor(1);
  book.onRefused(now, kPort);
  LONGS_EQUAL(0, late());
  now += seconds(2);
  probeFor(1);
  book.onRefused(now, kPort);
  LONGS_EQUAL(1, late());
}

TEST(RouteBook, OnlyTheRoutesServicesMayRunItsRequests) {
  CHECK_TRUE(book.mayRun({1, 1}, "dispatch"));
  CHECK_FALSE(book.mayRun({1, 1}, "mapstore"));
}

}  // namespace umberhold::soak
