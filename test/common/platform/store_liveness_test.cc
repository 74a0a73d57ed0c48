/** @file When pending calls must be repeated, and the timing of probes. */
#include "common/platform/store_liveness.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

}  // namespace

TEST_GROUP(StoreLiveness) {
  RandomSource random{3};
  StoreLiveness liveness{kStart, {}, random};
};

TEST(StoreLiveness, RenewsWaitingCallsOnceAfterUnansweredProbes) {
  TimePoint now = kStart;
  CHECK_TRUE(liveness.onProbe(now, true) == WaitingCalls::kKeep);
  CHECK_TRUE(liveness.onProbe(now, false) == WaitingCalls::kKeep);
  CHECK_TRUE(liveness.isUnresponsive());
  CHECK_TRUE(liveness.onProbe(now, false) == WaitingCalls::kKeep);
  CHECK_TRUE(liveness.onProbe(now, true) == WaitingCalls::kRenew);
  CHECK_FALSE(liveness.isUnresponsive());
  CHECK_TRUE(liveness.onProbe(now, true) == WaitingCalls::kKeep);
}

TEST(StoreLiveness, ProbesAtLeastOnceASecond) {
  TimePoint last = kStart;
  for (int probe = 0; probe < 1000; ++probe) {
    liveness.onProbe(last, true);
    CHECK_TRUE(liveness.nextProbe() - last <= seconds(1));
    last = liveness.nextProbe();
  }
}

TEST(StoreLiveness, ProbesSoonerAfterAMissAndWithJitter) {
  const TimePoint first = liveness.nextProbe();
  liveness.onProbe(kStart, true);
  CHECK_TRUE(liveness.nextProbe() != first);
  CHECK_TRUE(liveness.nextProbe() >= kStart + milliseconds(600));
  CHECK_TRUE(liveness.nextProbe() <= kStart + milliseconds(1000));
  liveness.onProbe(kStart, false);
  CHECK_TRUE(liveness.nextProbe() <= kStart + milliseconds(360));
}

TEST(StoreLiveness, ProbesAnUnresponsiveStoreLessOftenUnlessServing) {
  TimePoint now = kStart;
  const auto delayAfterMiss = [&] {
    liveness.onProbe(now, false);
    const Duration pause = liveness.nextProbe() - now;
    now = liveness.nextProbe();
    return pause;
  };
  for (int misses = 0; misses < 4; ++misses) {
    delayAfterMiss();
  }
  CHECK_TRUE(delayAfterMiss() >= milliseconds(960));
  CHECK_TRUE(delayAfterMiss() <= milliseconds(1440));
  liveness.setServing(true);
  CHECK_TRUE(delayAfterMiss() <= milliseconds(600));
  liveness.setStarting(true);
  CHECK_TRUE(delayAfterMiss() <= milliseconds(120));
  liveness.setServing(false);
  liveness.setStarting(false);
  liveness.onProbe(now, true);
  now = liveness.nextProbe();
  CHECK_TRUE(delayAfterMiss() <= milliseconds(360));
  // Its reader notifies it when the store recovers.
  liveness.setFollowing(true);
  CHECK_TRUE(delayAfterMiss() >= milliseconds(960));
}

TEST(StoreLiveness, ProbesOftenAtFirstWhileStarting) {
  liveness.setStarting(true);
  TimePoint now = kStart;
  for (int misses = 0; misses < 10; ++misses) {
    liveness.onProbe(now, false);
    CHECK_TRUE(liveness.nextProbe() - now <= milliseconds(120));
    now = liveness.nextProbe();
  }
  liveness.onProbe(now, false);
  CHECK_TRUE(liveness.nextProbe() - now >= milliseconds(200));
  CHECK_TRUE(liveness.nextProbe() - now <= milliseconds(300));
}

TEST(StoreLiveness, ProbesSoonWhenPendingCallsNeedConfirmation) {
  liveness.onProbe(kStart, true);
  liveness.probeSoon(kStart + milliseconds(100));
  CHECK_TRUE(liveness.nextProbe() <= kStart + milliseconds(150));
  const TimePoint next = liveness.nextProbe();
  liveness.probeSoon(kStart + milliseconds(140));
  CHECK_TRUE(liveness.nextProbe() == next);
}

}  // namespace umberhold
