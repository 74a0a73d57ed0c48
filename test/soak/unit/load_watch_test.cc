/** @file Tests that each guarantee under hard load is reported as violated exactly when it is. */
#include "test/soak/world/load_watch.h"
#include "test/support/without_leak_detection.h"

namespace umberhold::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr Duration kRequestInterval = milliseconds(100);

}  // namespace

TEST_GROUP_BASE(LoadWatch, test::WithoutLeakDetection) {
  ViolationRecord promises{kNow};
  LoadWatch watch{LoadBounds{}, promises};

  /** Completes requests of two services of a pool for the given time. */
  void runFor(TimePoint from, Duration length, bool usualServed, bool urgentServed) {
    for (TimePoint now = from; now < from + length; now += kRequestInterval) {
      watch.onEnded(now, "dispatch", "usual", now, usualServed);
      watch.onEnded(now, "dispatch", "urgent", now, urgentServed);
    }
  }
};

TEST(LoadWatch, UnservedServiceStarvesWhileAnotherIsServed) {
  runFor(kNow, seconds(5), false, true);
  LONGS_EQUAL(0, promises.total());
  CHECK_TRUE(watch.longestStarvation() > seconds(4));
  runFor(kNow + seconds(5), seconds(2), false, true);
  LONGS_EQUAL(1, promises.count(Promise::kNoServiceStarved));
}

TEST(LoadWatch, OccasionallyServedServiceDoesNotStarve) {
  for (int round = 0; round < 10; ++round) {
    const TimePoint from = kNow + round * seconds(5);
    runFor(from, seconds(5), false, true);
    watch.onEnded(from + seconds(5), "dispatch", "usual", from, true);
  }
  LONGS_EQUAL(0, promises.total());
}

TEST(LoadWatch, NoServiceStarvesWhereNoneOfItsPoolIsServed) {
  runFor(kNow, seconds(20), false, false);
  for (TimePoint now = kNow; now < kNow + seconds(20); now += kRequestInterval) {
    watch.onEnded(now, "mapstore", "maps", now, true);
  }
  LONGS_EQUAL(0, promises.total());
}

TEST(LoadWatch, FullHostMayReceiveAFewOpeningsPerSecond) {
  for (int round = 0; round < 5; ++round) {
    for (uint32_t opening = 0; opening < LoadBounds{}.maxOpeningsToFullHost; ++opening) {
      watch.onFull(kNow + round * milliseconds(1100), "i-1");
    }
  }
  LONGS_EQUAL(0, promises.total());
  watch.onFull(kNow + 4 * milliseconds(1100), "i-1");
  LONGS_EQUAL(1, promises.count(Promise::kFullHostsSpared));
}

TEST(LoadWatch, UsualShareRecoversAfterAShortage) {
  watch.onCapacityRestored(kNow);
  runFor(kNow, seconds(6), false, false);
  runFor(kNow + seconds(6), seconds(2), true, true);
  watch.tick(kNow + seconds(5), false);  // Before the recovery time, disturbances are ignored.
  watch.tick(kNow + seconds(11), true);
  LONGS_EQUAL(1, watch.recoveriesEvaluated());
  LONGS_EQUAL(0, promises.total());
}

TEST(LoadWatch, MissingRecoveryViolatesThePromise) {
  watch.onCapacityRestored(kNow);
  runFor(kNow, seconds(7), false, false);
  runFor(kNow + seconds(7), seconds(3), true, true);
  watch.tick(kNow + seconds(5), false);  // Before the recovery time, disturbances are ignored.
  watch.tick(kNow + seconds(11), true);
  LONGS_EQUAL(1, promises.count(Promise::kShareReturns));
}

TEST(LoadWatch, DisturbedRecoveryIsNotEvaluated) {
  watch.onCapacityRestored(kNow);
  runFor(kNow, seconds(8), false, false);
  watch.tick(kNow + seconds(5), false);
  watch.tick(kNow + seconds(8), false);
  watch.tick(kNow + seconds(11), true);
  LONGS_EQUAL(0, watch.recoveriesEvaluated() + promises.total());
}

}  // namespace umberhold::soak
