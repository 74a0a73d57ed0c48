/** @file Selection of flows of dead hosts to reset. */
#include "common/token/dead_host_flows.h"

#include <string>

#include "common/base/hash.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::seconds;

constexpr uint32_t kHost = 7;

}  // namespace

TEST_GROUP(DeadHostFlows) {
  DeadHostFlows flows{seconds(60)};
  TimePoint now{seconds(1000)};

  void send(uint32_t caller, const std::string& service, uint32_t dataBytes,
            uint32_t token = kHost) {
    FlowPacket made;
    made.key.caller = {caller, 40000};
    made.hash = hashOf(made.key);
    made.service = serviceIdOf(service);
    made.phase = PacketPhase::kContinuing;
    made.token = token;
    made.dataBytes = dataBytes;
    flows.record(now, made);
  }
  void fallSilent() {
    flows.onSilent(now, {kHost},
                   [](ServiceId service) { return service == serviceIdOf("repeatable"); });
  }
  size_t takeAll() {
    size_t count = 0;
    while (flows.hasPending()) {
      count += flows.take().size();
    }
    return count;
  }
};

TEST(DeadHostFlows, ResetsAllFlowsOfATerminatedHost) {
  send(1, "once", 0);
  send(2, "once", 100);
  send(3, "repeatable", 100);
  send(4, "once", 0, kHost + 1);
  flows.onEnded(now, {kHost});
  const auto taken = flows.take();
  LONGS_EQUAL(3, taken.size());
  CHECK_TRUE(taken[0].reason == RefusalReason::kHostEnded);
  CHECK_FALSE(flows.hasPending());
}

TEST(DeadHostFlows, LeavesNonRepeatableRequestsToASilentHost) {
  send(1, "once", 0);
  send(2, "once", 100);
  send(3, "repeatable", 100);
  fallSilent();
  const auto taken = flows.take();
  LONGS_EQUAL(2, taken.size());
  for (const ResetFlow& reset : taken) {
    CHECK_TRUE(reset.key.caller.address != 2);
    CHECK_TRUE(reset.reason == RefusalReason::kHostSilent);
  }
  flows.onEnded(now, {kHost});
  LONGS_EQUAL(1, takeAll());
}

TEST(DeadHostFlows, ReturnsABoundedNumberPerCallAndLosesNone) {
  for (uint32_t caller = 1; caller <= 1000; ++caller) {
    send(caller, "once", 0);
  }
  fallSilent();
  LONGS_EQUAL(DeadHostFlows::kMaxResetsPerCall, flows.take().size());
  CHECK_TRUE(flows.hasPending());
  LONGS_EQUAL(1000 - DeadHostFlows::kMaxResetsPerCall, takeAll());
}

TEST(DeadHostFlows, IgnoresFlowsOlderThanTheFlowLifetime) {
  send(1, "once", 0);
  now += seconds(61);
  fallSilent();
  flows.onEnded(now, {kHost});
  LONGS_EQUAL(0, takeAll());
}

}  // namespace umberhold
