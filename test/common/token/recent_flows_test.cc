/** @file Lookup of recently carried flows by host. */
#include "common/token/recent_flows.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kHost = 7;
constexpr TimePoint kStart{seconds(1000)};

}  // namespace

TEST_GROUP(RecentFlows) {
  RecentFlows flows;
  TimePoint now = kStart;

  FlowPacket packet(PacketPhase phase, uint32_t caller, uint32_t token) {
    FlowPacket made;
    made.key.caller = {caller, 40000};
    made.hash = hashOf(made.key);
    made.phase = phase;
    made.token = token;
    return made;
  }
  void send(uint32_t caller, uint32_t token, uint32_t dataBytes, uint32_t acknowledged) {
    FlowPacket made = packet(PacketPhase::kContinuing, caller, token);
    made.dataBytes = dataBytes;
    made.acknowledged = acknowledged;
    flows.record(now, made);
  }
  std::vector<RecentFlow> takeOf(uint32_t token) {
    return flows.take(TimePoint{}, [token](const RecentFlow& flow) { return flow.token == token; });
  }
};

TEST(RecentFlows, ReturnsTheFlowsOfAHostOnceWithTheLastAcknowledgement) {
  send(1, kHost, 100, 10);
  send(1, kHost, 0, 500);
  send(2, kHost + 1, 100, 10);
  const auto taken = takeOf(kHost);
  LONGS_EQUAL(1, taken.size());
  LONGS_EQUAL(1, taken[0].key.caller.address);
  LONGS_EQUAL(500, taken[0].acknowledged);
  CHECK_TRUE(takeOf(kHost).empty());
  LONGS_EQUAL(1, takeOf(kHost + 1).size());
}

TEST(RecentFlows, TracksWhetherARequestIsInFlight) {
  send(1, kHost, 100, 10);
  send(2, kHost, 100, 10);
  send(2, kHost, 0, 10);  // Acknowledges no new data.
  send(3, kHost, 100, 10);
  send(3, kHost, 0, 600);
  for (const RecentFlow& flow : takeOf(kHost)) {
    CHECK_EQUAL(flow.key.caller.address != 3, flow.requestInFlight);
  }
}

TEST(RecentFlows, RequestThatAcknowledgesTheLastAnswerIsInFlight) {
  send(1, kHost, 100, 10);
  send(1, kHost, 100, 600);
  CHECK_TRUE(takeOf(kHost)[0].requestInFlight);
}

TEST(RecentFlows, OpeningOrEndRemovesTheFlow) {
  for (const PacketPhase phase :
       {PacketPhase::kOpening, PacketPhase::kClosing, PacketPhase::kReset}) {
    send(1, kHost, 100, 10);
    flows.record(now, packet(phase, 1, 0));
    CHECK_TRUE(takeOf(kHost).empty());
  }
}

TEST(RecentFlows, NeverMovesAnAcknowledgementBack) {
  send(1, kHost, 0, 500);
  send(1, kHost, 0, 400);
  LONGS_EQUAL(500, takeOf(kHost)[0].acknowledged);
  send(1, kHost, 0, UINT32_MAX - 5);
  send(1, kHost, 0, 20);  // Wrapped around.
  LONGS_EQUAL(20, takeOf(kHost)[0].acknowledged);
}

TEST(RecentFlows, SeenFlowBecomesTheMostRecent) {
  send(1, kHost, 100, 10);
  for (uint32_t caller = 2; caller <= 3 * RecentFlows::kCapacity; ++caller) {
    send(caller, kHost + 1, 100, 10);
    send(1, kHost, 0, 10 + caller);
  }
  LONGS_EQUAL(1, takeOf(kHost).size());
}

TEST(RecentFlows, SkipsFlowsNotSeenForLong) {
  send(1, kHost, 0, 500);
  now += seconds(60);
  send(2, kHost, 0, 500);
  const auto taken = flows.take(now - seconds(50), [](const RecentFlow&) { return true; });
  LONGS_EQUAL(1, taken.size());
  LONGS_EQUAL(2, taken[0].key.caller.address);
}

TEST(RecentFlows, EvictsTheOldestAboveCapacity) {
  for (uint32_t caller = 1; caller <= 100000; ++caller) {
    now += milliseconds(1);
    send(caller, kHost, 100, 10);
  }
  const auto taken = takeOf(kHost);
  LONGS_EQUAL(RecentFlows::kCapacity, taken.size());
  for (const RecentFlow& flow : taken) {
    CHECK_TRUE(flow.key.caller.address > 100000 - RecentFlows::kCapacity);
  }
}

}  // namespace umberhold
