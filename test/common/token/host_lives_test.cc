/** @file A host restarts under the same id: the state of its previous generation is discarded. */
#include <algorithm>
#include <string>

#include "common/base/hash.h"
#include "common/token/token_director.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kUnixStart = 1796264498000;
constexpr TimePoint kStart{seconds(1000)};

HostSpec makeHost(uint64_t number, uint64_t born = kUnixStart - 60000) {
  HostSpec host;
  host.name = "h-" + std::to_string(number);
  host.endpoint = {0x0A800000 + static_cast<uint32_t>(number), 8080};
  host.zone = "bole";
  host.incarnation = number;
  host.startedAtMilliseconds = born;
  return host;
}

}  // namespace

TEST_GROUP(HostRestart) {
  RandomSource random{7};
  TokenDirector director{{"bole", seconds(60)}, random};
  TimePoint now = kStart;
  const uint32_t token = flowTokenOf(1);

  void setup() override {
    Service service;
    service.name = "pickup";
    service.address = 0xC6120001;
    service.port = 443;
    service.groups = {{"dispatch", 1}};
    director.setService(service);
    setHosts({makeHost(1), makeHost(2)});
  }
  /** @return current Unix time in milliseconds. */
  uint64_t unixNow() const {
    return kUnixStart +
           static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(now - kStart).count());
  }
  std::vector<HostChange> setHosts(const std::vector<HostSpec>& hosts) {
    director.setWallClock({now, unixNow()});
    return director.setPool(now, {"dispatch", hosts, {10.0, 2000}});
  }
  static bool has(const std::vector<HostChange>& changes, HostChangeKind kind) {
    return std::any_of(changes.begin(), changes.end(),
                       [kind](const HostChange& change) { return change.kind == kind; });
  }
  FlowDecision send(uint32_t flow, uint32_t dataBytes = 0, uint32_t hostToken = flowTokenOf(1)) {
    FlowPacket packet;
    packet.hash = FlowHash{flow};
    packet.key.caller = {flow, 40000};
    packet.service = serviceIdOf("pickup");
    packet.phase = PacketPhase::kContinuing;
    packet.token = hostToken;
    packet.sequence = 7;
    packet.dataBytes = dataBytes;
    const FlowDecision decision = director.decide(now, packet, "");
    director.onCaughtUp(now);
    return decision;
  }
  /** Restarts host 1 after the packets so far. */
  std::vector<HostChange> restart() {
    now += seconds(1);
    return setHosts({makeHost(1, unixNow()), makeHost(2)});
  }
};

TEST(HostRestart, ResetsOnlyFlowsIdleSinceBeforeTheRestart) {
  send(1);
  send(2, 100);
  send(3, 0, flowTokenOf(2));
  now += seconds(1);
  const uint64_t born = unixNow();
  now += milliseconds(100);
  send(4);
  send(2, 100);
  const auto changes = setHosts({makeHost(1, born), makeHost(2)});
  CHECK_TRUE(has(changes, HostChangeKind::kRestarted));
  const auto resets = director.takeResets();
  LONGS_EQUAL(1, resets.size());
  LONGS_EQUAL(1, resets[0].key.caller.address);
  CHECK_TRUE(resets[0].reason == RefusalReason::kHostEnded);
  // The host itself resets flows that it does not hold.
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(send(1)));
}

TEST(HostRestart, LeavesFlowsSeenWithinClockSkewToTheHost) {
  send(1);
  now += kMaxClockSkew / 2;
  setHosts({makeHost(1, unixNow()), makeHost(2)});
  LONGS_EQUAL(0, director.takeResets().size());
}

TEST(HostRestart, FutureStartTimeIsARestartButResetsNothing) {
  send(1);
  now += seconds(1);
  CHECK_TRUE(
      has(setHosts({makeHost(1, unixNow() + 5000), makeHost(2)}), HostChangeKind::kRestarted));
  LONGS_EQUAL(0, director.takeResets().size());
}

TEST(HostRestart, MissingStartTimeIsNoRestart) {
  send(1);
  now += seconds(1);
  CHECK_FALSE(has(setHosts({makeHost(1, 0), makeHost(2)}), HostChangeKind::kRestarted));
  CHECK_FALSE(has(setHosts({makeHost(1), makeHost(2)}), HostChangeKind::kRestarted));
  LONGS_EQUAL(0, director.takeResets().size());
  // The known start time was kept.
  CHECK_TRUE(has(restart(), HostChangeKind::kRestarted));
}

TEST(HostRestart, IgnoresAnOlderGeneration) {
  restart();
  HostSpec older = makeHost(1);
  older.state = HostState::kDraining;
  older.endpoint.port = 1;
  send(1);
  now += seconds(1);
  LONGS_EQUAL(0, setHosts({older, makeHost(2)}).size());
  const FlowDecision decision = send(1);
  LONGS_EQUAL(8080, std::get<ForwardToHost>(decision).endpoint.port);
  LONGS_EQUAL(0, director.takeResets().size());
  LONGS_EQUAL(2, director.listedHostCount());
}

TEST(HostRestart, RestartEndsDraining) {
  HostSpec draining = makeHost(1);
  draining.state = HostState::kDraining;
  setHosts({draining, makeHost(2)});
  CHECK_TRUE(has(restart(), HostChangeKind::kActive));
}

TEST(HostRestart, RelistedRestartedHostIsAddedAndItsIdleFlowsAreReset) {
  send(1);
  CHECK_TRUE(has(setHosts({makeHost(2)}), HostChangeKind::kLeft));
  const auto changes = restart();
  CHECK_TRUE(has(changes, HostChangeKind::kAdded));
  CHECK_TRUE(has(changes, HostChangeKind::kRestarted));
  LONGS_EQUAL(1, director.takeResets().size());
}

TEST(HostRestart, RestartBeginsAColdPhaseOfTheSameLengthAgain) {
  HostSpec cold = makeHost(1);
  cold.coldMilliseconds = 1500;
  CHECK_TRUE(has(setHosts({cold, makeHost(2)}), HostChangeKind::kCold));
  now += seconds(5);
  LONGS_EQUAL(0, director.coldHostCount(now));
  cold.startedAtMilliseconds = unixNow();
  CHECK_TRUE(has(setHosts({cold, makeHost(2)}), HostChangeKind::kCold));
  LONGS_EQUAL(1, director.coldHostCount(now));
}

TEST(HostRestart, SilenceFromBeforeTheRestartDoesNotCount) {
  restart();
  now += milliseconds(200);
  send(9);
  director.applySilentHosts(now, {{token, 400}});
  LONGS_EQUAL(0, director.takeResets().size());
  now += seconds(1);
  director.applySilentHosts(now, {{token, 900}});
  LONGS_EQUAL(1, director.takeResets().size());
}

TEST(HostRestart, RestartedHostNoLongerCountsAsDead) {
  Service service;
  service.name = "pickup";
  service.address = 0xC6120001;
  service.port = 443;
  service.groups = {{"dispatch", 1}};
  service.repeatable = true;
  director.setService(service);
  director.applySilentHosts(now, {{token, 400}});
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(send(1, 100)));
  restart();
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(send(2, 100)));
}

TEST(HostRestart, ReportsTheEndOfSilenceAfterARestart) {
  director.takeAckStates();
  restart();
  const auto states = director.takeAckStates();
  LONGS_EQUAL(1, states.size());
  CHECK_TRUE(states[0].token == token);
  LONGS_EQUAL(0, states[0].copies);
  CHECK_TRUE(states[0].answeredAt == now);
}

TEST(HostRestart, IgnoresSpeedsFromBeforeTheRestart) {
  director.applySpeeds(now, {{token, 25, 50}});
  LONGS_EQUAL(1, director.speeds(now).known);
  now += seconds(1);
  setHosts({makeHost(1, unixNow()), makeHost(2)});
  LONGS_EQUAL(0, director.speeds(now).known);
  // The node that reads the store for the zone still reports the old speed.
  director.applySpeeds(now + seconds(1), {{token, 25, 50}});
  LONGS_EQUAL(0, director.speeds(now + seconds(1)).known);
  director.applySpeeds(now + seconds(41), {{token, 25, 50}});
  LONGS_EQUAL(1, director.speeds(now + seconds(41)).known);
}

TEST(HostRestart, IgnoresSharedScoresFromBeforeTheRestart) {
  TokenHosts hosts{seconds(60)};
  hosts.setWallClock({now, unixNow()});
  hosts.setPool(now, {"dispatch", {makeHost(1, unixNow() - 300)}}, 1);
  const TokenHost* host = hosts.find(token);
  CHECK_FALSE(host->isCurrentGenerationAt(now - milliseconds(301)));
  CHECK_TRUE(host->isCurrentGenerationAt(now - milliseconds(300)));
}

}  // namespace umberhold
