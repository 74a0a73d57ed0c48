/** @file Tests of the queue of openings. */
#include "common/admission/opening_queue.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kPool = "dispatch";
constexpr uint32_t kLimit = 3;

}  // namespace

TEST_GROUP(OpeningQueue) {
  OpeningQueue queue{OpeningLimits{}};
  TimePoint now{seconds(1000)};

  OpeningDecision decideOpening(uint64_t flow) {
    return queue.decideOpening(now, kPool, kLimit, FlowHash{flow});
  }
  /** Places an opening that does not have to wait. */
  void place(uint64_t flow) {
    CHECK_TRUE(decideOpening(flow) == OpeningDecision::kPlace);
    queue.onPlaced(now, kPool, FlowHash{flow});
  }
  void hold(uint64_t flow, uint32_t priority = 1, Duration timeout = seconds(3)) {
    CHECK_TRUE(decideOpening(flow) == OpeningDecision::kWait);
    queue.hold(now, {FlowHash{flow}, kPool, priority, timeout, std::to_string(flow)});
  }
  void fill() {
    for (uint64_t flow = 1; flow <= kLimit; ++flow) {
      place(flow);
    }
  }
  void sendLaterPacket(uint64_t flow, uint32_t acknowledged,
                       PacketPhase phase = PacketPhase::kContinuing,
                       Duration requestTime = milliseconds(200)) {
    FlowPacket packet;
    packet.hash = FlowHash{flow};
    packet.phase = phase;
    packet.acknowledged = acknowledged;
    queue.onLaterPacket(now, packet, requestTime);
  }
  /** Completes the handshakes of the flows under way; they count as such for 10 s without an
   * answer. */
  void leaveUnanswered() {
    for (uint64_t flow = 1; flow <= kLimit; ++flow) {
      sendLaterPacket(flow, 100, PacketPhase::kContinuing, seconds(10));
    }
  }
  /** Completes the handshake, then acknowledges an answer. */
  void answer(uint64_t flow) {
    sendLaterPacket(flow, 100);
    sendLaterPacket(flow, 700);
  }
};

TEST(OpeningQueue, QueuesNothingWhileFewOpeningsAreUnderWay) {
  CHECK_TRUE(queue.isUncontended(now, kPool));
  place(1);
  CHECK_TRUE(queue.isUncontended(now, kPool));
  place(2);
  CHECK_FALSE(queue.isUncontended(now, kPool));
  CHECK_FALSE(queue.nextDue().has_value());
}

TEST(OpeningQueue, ReturnsThePoolOfAnOpeningUntilItIsPlaced) {
  fill();
  POINTERS_EQUAL(nullptr, queue.poolOf(FlowHash{4}));
  LONGS_EQUAL(kLimit, queue.openingsOf(now, kPool));
  hold(4);
  LONGS_EQUAL(kLimit + 1, queue.openingsOf(now, kPool));
  LONGS_EQUAL(0, queue.openingsOf(now, "mapstore"));
  CHECK_TRUE(queue.isWaiting(FlowHash{4}));
  STRCMP_EQUAL(kPool.c_str(), queue.poolOf(FlowHash{4})->c_str());
  answer(1);
  LONGS_EQUAL(1, queue.take(now).size());
  CHECK_FALSE(queue.isWaiting(FlowHash{4}));
  STRCMP_EQUAL(kPool.c_str(), queue.poolOf(FlowHash{4})->c_str());
  place(4);
  POINTERS_EQUAL(nullptr, queue.poolOf(FlowHash{4}));
}

TEST(OpeningQueue, FirstAnswerReleasesTheNextOpening) {
  fill();
  hold(4);
  hold(5);
  sendLaterPacket(1, 100);
  LONGS_EQUAL(0, queue.take(now).size());
  sendLaterPacket(1, 700);
  const auto taken = queue.take(now);
  LONGS_EQUAL(1, taken.size());
  STRCMP_EQUAL("4", taken.front().c_str());
  place(4);
  sendLaterPacket(4, 100, PacketPhase::kContinuing, seconds(10));
  CHECK_TRUE(decideOpening(5) == OpeningDecision::kWait);
}

TEST(OpeningQueue, ClosedOrUnansweredFlowsAreNoLongerUnderWay) {
  fill();
  hold(4);
  hold(5);
  sendLaterPacket(1, 100, PacketPhase::kClosing);
  LONGS_EQUAL(1, queue.take(now).size());
  place(4);
  now += milliseconds(150);
  LONGS_EQUAL(1, queue.take(now).size());
}

TEST(OpeningQueue, HangingRequestExpiresAfterItsRequestTime) {
  fill();
  for (uint64_t flow = 1; flow <= kLimit; ++flow) {
    sendLaterPacket(flow, 100);
  }
  hold(4);
  now += milliseconds(199);
  LONGS_EQUAL(0, queue.take(now).size());
  CHECK_TRUE(*queue.nextDue() <= now + milliseconds(1));
  now += milliseconds(1);
  LONGS_EQUAL(1, queue.take(now).size());
  place(4);
}

TEST(OpeningQueue, ReleasesMoreUrgentServicesFirst) {
  fill();
  hold(4, 2);
  hold(5, 1);
  hold(6, 0);
  answer(1);
  answer(2);
  const auto taken = queue.take(now);
  LONGS_EQUAL(2, taken.size());
  STRCMP_EQUAL("6", taken[0].c_str());
  STRCMP_EQUAL("5", taken[1].c_str());
}

TEST(OpeningQueue, RefusesAnOpeningAfterOneSixthOfItsTimeout) {
  fill();
  leaveUnanswered();
  hold(4, 1, milliseconds(1200));
  now += milliseconds(199);
  LONGS_EQUAL(0, queue.take(now).size());
  now += milliseconds(1);
  LONGS_EQUAL(1, queue.take(now).size());
  CHECK_TRUE(decideOpening(4) == OpeningDecision::kRefuse);
  // Its caller retries.
  CHECK_TRUE(decideOpening(4) == OpeningDecision::kWait);
}

TEST(OpeningQueue, WaitIsLimitedForLongAndUnknownTimeouts) {
  fill();
  leaveUnanswered();
  hold(4, 1, seconds(60));
  hold(5, 1, seconds(0));
  now += OpeningQueue::kMaxWait;
  LONGS_EQUAL(2, queue.take(now).size());
}

TEST(OpeningQueue, RetransmissionReplacesTheQueuedPacket) {
  fill();
  hold(4);
  queue.hold(now, {FlowHash{4}, kPool, 1, seconds(3), "copy"});
  LONGS_EQUAL(1, queue.waitingCount());
  answer(1);
  const auto taken = queue.take(now);
  LONGS_EQUAL(1, taken.size());
  STRCMP_EQUAL("copy", taken.front().c_str());
}

TEST(OpeningQueue, FullPoolDoesNotDelayOtherPools) {
  fill();
  hold(4);
  CHECK_TRUE(queue.isUncontended(now, "mapstore"));
  CHECK_TRUE(queue.decideOpening(now, "mapstore", kLimit, FlowHash{9}) == OpeningDecision::kPlace);
}

TEST(OpeningQueue, PlacesOpeningsWhenTheQueueIsFull) {
  fill();
  for (uint64_t flow = 10; flow < 10 + OpeningQueue::kCapacity; ++flow) {
    hold(flow);
  }
  CHECK_TRUE(decideOpening(5) == OpeningDecision::kPlace);
}

TEST(OpeningQueue, DividesTheLimitAmongNodes) {
  LONGS_EQUAL(8, OpeningQueue(OpeningLimits{2.0, 0.1}).limitOf(40.0, 10));
  // The minimum applies regardless of the number of nodes.
  LONGS_EQUAL(OpeningQueue::kMinLimit, queue.limitOf(4.0, 17000));
  LONGS_EQUAL(OpeningQueue::kMinLimit, queue.limitOf(0.1, 0));
}

TEST(OpeningQueue, CountsNothingAsUnderWayIfDisabled) {
  OpeningQueue off(OpeningLimits{0.0, 0.1});
  for (uint64_t flow = 1; flow < 100; ++flow) {
    off.onPlaced(now, kPool, FlowHash{flow});
  }
  CHECK_TRUE(off.isUncontended(now, kPool));
}

TEST(OpeningQueue, YieldingOpeningsLeaveRoomForMoreUrgentOnes) {
  const OpeningClaim yielding{2, 1, 1};
  queue.onPlaced(now, kPool, FlowHash{1}, 2);
  CHECK_TRUE(queue.decideOpening(now, kPool, kLimit, FlowHash{2}, yielding) ==
             OpeningDecision::kWait);
  queue.hold(now, {FlowHash{2}, kPool, 2, seconds(3), "2"});
  CHECK_TRUE(queue.decideOpening(now, kPool, kLimit, FlowHash{3}, {1}) == OpeningDecision::kPlace);
  queue.onPlaced(now, kPool, FlowHash{3}, 1);
  LONGS_EQUAL(0, queue.take(now).size());
}

TEST(OpeningQueue, ServiceMayAlwaysUseItsGuaranteedMinimum) {
  for (uint64_t flow = 1; flow <= kLimit; ++flow) {
    queue.onPlaced(now, kPool, FlowHash{flow}, 1);
  }
  const OpeningClaim yielding{2, 1, 1};
  CHECK_TRUE(queue.decideOpening(now, kPool, kLimit, FlowHash{4}, yielding) ==
             OpeningDecision::kPlace);
  queue.onPlaced(now, kPool, FlowHash{4}, 2);
  CHECK_TRUE(queue.decideOpening(now, kPool, kLimit, FlowHash{5}, yielding) ==
             OpeningDecision::kWait);
}

TEST(OpeningQueue, ReleasesTheLatestFirstOnceTheEarliestCannotBeInTime) {
  constexpr auto kFifoWait = milliseconds(100);
  fill();
  leaveUnanswered();
  CHECK_TRUE(decideOpening(4) == OpeningDecision::kWait);
  queue.hold(now, {FlowHash{4}, kPool, 1, seconds(3), "4", kFifoWait});
  now += milliseconds(99);
  queue.hold(now, {FlowHash{5}, kPool, 1, seconds(3), "5", kFifoWait});
  queue.hold(now, {FlowHash{6}, kPool, 1, seconds(3), "6", kFifoWait});
  answer(1);
  auto taken = queue.take(now);
  LONGS_EQUAL(1, taken.size());
  STRCMP_EQUAL("4", taken.front().c_str());
  place(4);
  sendLaterPacket(4, 100, PacketPhase::kContinuing, seconds(10));
  now += milliseconds(100);
  answer(2);
  taken = queue.take(now);
  LONGS_EQUAL(1, taken.size());
  STRCMP_EQUAL("6", taken.front().c_str());
  place(6);
  sendLaterPacket(6, 100, PacketPhase::kContinuing, seconds(10));
  // An opening that can't be in time remains queued for the remaining capacity until its maximum
  // wait.
  now += milliseconds(299);
  CHECK_TRUE(queue.take(now).empty());
  now += milliseconds(1);
  LONGS_EQUAL(1, queue.take(now).size());
  CHECK_TRUE(decideOpening(5) == OpeningDecision::kRefuse);
}
