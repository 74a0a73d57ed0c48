/** @file Which openings are queued when services of different priority share a pool. */
#include "common/admission/admission.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kPool = "dispatch";
constexpr uint32_t kUrgent = 1;
constexpr uint32_t kUsual = 2;
/** Ten slots: 40 openings by the limit per slot. By latency, 100 requests: half of the target
 * latency of 440 ms, less 20 ms of transit time, is 200 ms, which is 10 requests of 20 ms per slot.
 * One node has a tenth of these. */
const PoolSize kSize{10.0, 10};
const std::string kBytes = "opening";

OpeningParameters parametersOf(uint32_t priority) {
  return {priority == kUrgent ? "confirm" : "alert", priority, seconds(3), milliseconds(440)};
}

}  // namespace

TEST_GROUP(Admission) {
  Admission admission{OpeningLimits{}, RoomLimits{0.5}};
  TimePoint now{seconds(1000)};
  uint64_t flows = 0;
  PoolSize size = kSize;

  OpeningDecision decideOpening(uint64_t flow, uint32_t priority) {
    const OpeningDecision decision = admission.decideOpening(
        now, kPool, parametersOf(priority), FlowHash{flow}, [this] { return size; });
    if (decision == OpeningDecision::kWait) {
      admission.hold(now, kPool, parametersOf(priority), FlowHash{flow}, kBytes);
    }
    return decision;
  }
  /** @return how many openings, each of a new caller, are placed before one is not. */
  uint32_t placeAll(uint32_t priority) {
    uint32_t placed = 0;
    for (; placed < 100 && decideOpening(++flows, priority) == OpeningDecision::kPlace; ++placed) {
      admission.onPlaced(now, kPool, FlowHash{flows}, priority);
    }
    return placed;
  }
  void end(uint32_t priority, Duration took, bool opened = false) {
    admission.onEnded(now, kPool, parametersOf(priority),
                      {priority, took, milliseconds(20), opened});
  }
  /** Open flows of the usual service occupy the hosts; the urgent service has a few requests. */
  void load(int usualPerSecond, Duration took) {
    for (int request = 0; request < 5 * usualPerSecond; ++request) {
      now += std::chrono::microseconds(1000000 / usualPerSecond);
      end(kUsual, took);
      if (request % 10 == 0) {
        end(kUrgent, took, true);
      }
    }
  }
};

TEST(Admission, DoesNotQueryTheSizeOfAnUncontendedPool) {
  CHECK_TRUE(
      admission.decideOpening(now, kPool, parametersOf(kUsual), FlowHash{1}, []() -> PoolSize {
        FAIL("the size of an uncontended pool was queried");
        return {};
      }) == OpeningDecision::kPlace);
}

// Open flows of the less urgent service, which can't be delayed, occupy the hosts.
TEST(Admission, LessUrgentOpeningsGetTheRoomLeftByOpenFlows) {
  load(60, milliseconds(150));
  // 10 slots x 200 ms / 20 ms / 10 nodes = 10, of which 9 are used.
  LONGS_EQUAL(1, placeAll(kUsual));
}

TEST(Admission, UrgentServiceHasRoomBesideOpenFlows) {
  load(60, milliseconds(150));
  placeAll(kUsual);
  CHECK_TRUE(placeAll(kUrgent) >= 3);
}

TEST(Admission, LessUrgentServiceMayUseIdleRoom) {
  load(20, milliseconds(60));
  // The same as without priorities: four per slot over ten nodes.
  LONGS_EQUAL(4, placeAll(kUsual));
}

TEST(Admission, SingleServiceOfAPoolDoesNotYield) {
  for (int request = 0; request < 300; ++request) {
    now += milliseconds(16);
    end(kUsual, milliseconds(150));
  }
  LONGS_EQUAL(4, placeAll(kUsual));
}

TEST(Admission, LessUrgentServiceIsNotStarved) {
  load(60, milliseconds(150));
  placeAll(kUrgent);
  LONGS_EQUAL(1, placeAll(kUsual));
  // Its next opening is released as soon as the one under way ends, although openings of the urgent
  // service are queued.
  const size_t waiting = admission.figures(now).front().waiting;
  CHECK_TRUE(waiting >= 2);
  now += milliseconds(150);
  CHECK_FALSE(admission.take(now).empty());
  CHECK_TRUE(decideOpening(flows, kUsual) == OpeningDecision::kPlace);
}

TEST(Admission, NoOpeningYieldsIfQueueingIsDisabled) {
  Admission plain{OpeningLimits{0.0, 0.25}, RoomLimits{1.0 / 3.0}};
  const OpeningParameters parameters = parametersOf(kUsual);
  for (int request = 0; request < 200; ++request) {
    now += milliseconds(5);
    plain.onEnded(now, kPool, parameters, {kUsual, milliseconds(300), milliseconds(30), false});
    plain.onEnded(now, kPool, parametersOf(kUrgent),
                  {kUrgent, milliseconds(300), milliseconds(30), false});
  }
  for (uint64_t flow = 1; flow <= 100; ++flow) {
    CHECK_TRUE(plain.decideOpening(now, kPool, parameters, FlowHash{flow}, [] { return kSize; }) ==
               OpeningDecision::kPlace);
    plain.onPlaced(now, kPool, FlowHash{flow}, kUsual);
  }
}

TEST(Admission, ReleasesTheLatestOpeningFirstUnderAStandingQueue) {
  load(60, milliseconds(150));
  placeAll(kUsual);
  const uint64_t early = flows;
  CHECK_TRUE(decideOpening(early, kUsual) == OpeningDecision::kWait);
  // (440 - 150 - 20) / 4 = 67.5
  now += milliseconds(68);
  const uint64_t late = ++flows;
  CHECK_TRUE(decideOpening(late, kUsual) == OpeningDecision::kWait);
  now += milliseconds(82);  // An opening under way has expired.
  admission.take(now);
  CHECK_TRUE(decideOpening(late, kUsual) == OpeningDecision::kPlace);
  CHECK_TRUE(decideOpening(early, kUsual) == OpeningDecision::kWait);
}

TEST(Admission, OpeningsThatCannotBeInTimeYieldButAreNotRefused) {
  load(60, milliseconds(430));
  placeAll(kUsual);
  const uint64_t early = flows;
  const uint64_t late = ++flows;
  CHECK_TRUE(decideOpening(late, kUsual) == OpeningDecision::kWait);
  now += milliseconds(150);
  admission.take(now);
  CHECK_TRUE(decideOpening(late, kUsual) == OpeningDecision::kPlace);
  CHECK_TRUE(decideOpening(early, kUsual) == OpeningDecision::kWait);
  LONGS_EQUAL(0, admission.counters().at({kPool, "alert"}).refusedAfterWait);
}

TEST(Admission, RetransmissionOfAQueuedOpeningStaysQueued) {
  load(60, milliseconds(150));
  placeAll(kUsual);
  const uint64_t waiting = flows;
  for (int request = 0; request < 20; ++request) {
    end(kUsual, seconds(2));
  }
  CHECK_TRUE(decideOpening(waiting, kUsual) == OpeningDecision::kWait);
  LONGS_EQUAL(1, admission.counters().at({kPool, "alert"}).waited);
}

TEST(Admission, WithoutTargetLatencyOnlyTheNumberOfOpeningsIsLimited) {
  Admission plain{OpeningLimits{}, RoomLimits{1.0 / 3.0}};
  OpeningParameters parameters = parametersOf(kUsual);
  parameters.targetLatency = Duration{0};
  for (int request = 0; request < 300; ++request) {
    now += milliseconds(10);
    plain.onEnded(now, kPool, parameters, {kUsual, milliseconds(150), milliseconds(20), false});
    plain.onEnded(now, kPool, parameters, {kUrgent, milliseconds(150), milliseconds(20), true});
  }
  uint32_t placed = 0;
  for (uint64_t flow = 1; flow < 100; ++flow) {
    if (plain.decideOpening(now, kPool, parameters, FlowHash{flow}, [] { return kSize; }) ==
        OpeningDecision::kPlace) {
      plain.onPlaced(now, kPool, FlowHash{flow}, kUsual);
      ++placed;
    }
  }
  LONGS_EQUAL(4, placed);
  DOUBLES_EQUAL(0.0, plain.roomOf(now, kPool, kSize).requests, 1e-9);
}

TEST(Admission, RoomFollowsChangesOfSlotsUnderFullLoad) {
  load(60, milliseconds(150));
  DOUBLES_EQUAL(10.0, admission.roomOf(now, kPool, kSize).own(), 1e-6);
  // Half of the hosts are gone.
  size.slots = 5.0;
  DOUBLES_EQUAL(5.0, admission.roomOf(now, kPool, size).own(), 1e-6);
  LONGS_EQUAL(1, placeAll(kUsual));
  // More hosts are added.
  size.slots = 40.0;
  CHECK_TRUE(placeAll(kUsual) >= 10);
}

TEST(Admission, RoomDoublesWhenHalfOfTheNodesLeave) {
  load(60, milliseconds(150));
  size.sendingNodes = 5;
  DOUBLES_EQUAL(20.0, admission.roomOf(now, kPool, size).own(), 1e-6);
  CHECK_TRUE(placeAll(kUsual) >= 5);
}

TEST(Admission, RestartedNodeCountsOpenFlowsAgain) {
  // Without data, only the number of openings is limited.
  LONGS_EQUAL(4, placeAll(kUsual));
  now += milliseconds(500);
  for (int request = 0; request < 120; ++request) {
    now += milliseconds(16);
    end(kUsual, milliseconds(150));
    end(kUrgent, milliseconds(150), true);
  }
  LONGS_EQUAL(1, placeAll(kUsual));
}
