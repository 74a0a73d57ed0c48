/** @file Probing, health, panic threshold and slow start. */
#include "common/health/host_health.h"

#include <algorithm>
#include <vector>

// Must be last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};

TimePoint after(double seconds) {
  return kStart + Duration{static_cast<int64_t>(seconds * 1e6)};
}

}  // namespace

TEST_GROUP(HostHealth) {
  HostHealth health{{}, 1};

  static std::vector<ProbedHost> hosts(size_t count) {
    std::vector<ProbedHost> list;
    for (size_t index = 0; index < count; ++index) {
      list.push_back({HostId{index + 1}, true, true});
    }
    return list;
  }
  void setup() override {
    health.setHosts(kStart, hosts(6), 3);
    health.setOwnedShards({0});
  }
  void miss(uint64_t host, int times) {
    for (int time = 0; time < times; ++time) {
      health.onProbe(kStart, HostId{host}, false, std::nullopt);
    }
  }
};

TEST(HostHealth, ThreeFailuresEjectAHostAndTwoSuccessesRestoreIt) {
  miss(1, 2);
  health.onProbe(kStart, HostId{1}, true, std::nullopt);
  miss(1, 2);
  CHECK(health.mayTakeFlows(kStart, HostId{1}));
  miss(1, 1);
  CHECK(!health.mayTakeFlows(kStart, HostId{1}));
  health.onProbe(kStart, HostId{1}, true, std::nullopt);
  CHECK(!health.mayTakeFlows(kStart, HostId{1}));
  health.onProbe(kStart, HostId{1}, true, std::nullopt);
  CHECK(health.mayTakeFlows(kStart, HostId{1}));
}

TEST(HostHealth, PanicThresholdLimitsEjections) {
  health.setOwnedShards({0, 1, 2});
  miss(1, 3);
  miss(2, 3);
  miss(3, 3);
  CHECK(!health.mayTakeFlows(kStart, HostId{1}));
  miss(4, 3);
  CHECK(health.isPanicking(kStart));
  CHECK(health.mayTakeFlows(kStart, HostId{1}));
  CHECK(!health.isHealthy(kStart, HostId{1}));
}

/** The recovery of the other hosts becomes known one host at a time. */
TEST(HostHealth, PanicModeOutlastsTheFirstRecovery) {
  health.setOwnedShards({0, 1, 2});
  for (const uint64_t host : {1, 2, 3, 4}) {
    miss(host, 3);
  }
  health.onProbe(after(1), HostId{1}, true, std::nullopt);
  health.onProbe(after(2), HostId{1}, true, std::nullopt);
  CHECK(health.mayTakeFlows(after(2), HostId{2}));
  CHECK(health.mayTakeFlows(after(16), HostId{2}));
  CHECK(!health.mayTakeFlows(after(18), HostId{2}));
  CHECK(health.mayTakeFlows(after(18), HostId{1}));
}

TEST(HostHealth, RecoveryInPanicModeSkipsSlowStart) {
  health.setOwnedShards({0, 1, 2});
  for (const uint64_t host : {1, 2, 3, 4}) {
    miss(host, 3);
  }
  for (const uint64_t host : {1, 2}) {
    health.onProbe(after(1), HostId{host}, true, std::nullopt);
    health.onProbe(after(2), HostId{host}, true, std::nullopt);
    DOUBLES_EQUAL(1.0, health.rampFactor(after(2), HostId{host}), 1e-9);
  }
  health.onProbe(after(20), HostId{3}, true, std::nullopt);
  health.onProbe(after(21), HostId{3}, true, std::nullopt);
  CHECK(health.rampFactor(after(21), HostId{3}) < 1.0);
}

TEST(HostHealth, UnknownHostTakesNoFlows) {
  miss(99, 3);
  CHECK(!health.mayTakeFlows(kStart, HostId{99}));
}

TEST(HostHealth, ProbesOnlyTheHostsOfOwnedShardsAboutEveryInterval) {
  int probes = 0;
  for (int tick = 0; tick < 6000; ++tick) {
    for (const HostId host : health.dueProbes(after(tick * 0.01))) {
      CHECK(host == HostId{1} || host == HostId{4});
      ++probes;
    }
  }
  CHECK(probes >= 21);
  CHECK(probes <= 28);
}

TEST(HostHealth, RetriesAFailureWithinAboutASecond) {
  health.dueProbes(after(10));
  health.onProbe(after(10), HostId{1}, false, std::nullopt);
  const auto due = health.dueProbes(after(11.2));
  CHECK(std::find(due.begin(), due.end(), HostId{1}) != due.end());
}

TEST(HostHealth, EnforcesTheProbeRateWithoutStarvation) {
  HostHealthOptions options;
  options.probesPerSecond = 5.0;
  HostHealth many(options, 2);
  many.setHosts(kStart, hosts(100), 1);
  many.setOwnedShards({0});
  std::vector<int> probed(101);
  size_t total = 0;
  for (int tick = 0; tick < 4000; ++tick) {
    for (const HostId host : many.dueProbes(after(tick * 0.01))) {
      ++probed[host.value];
      ++total;
    }
  }
  CHECK(total <= 205);
  CHECK(*std::min_element(probed.begin() + 1, probed.end()) >= 1);
}

TEST(HostHealth, AcceptsResultsOnlyFromTheProbingShard) {
  health.onRemoteResult(kStart, 2, HostId{2}, false, std::nullopt);
  CHECK(health.isHealthy(kStart, HostId{2}));
  health.onRemoteResult(kStart, 1, HostId{2}, false, std::nullopt);
  CHECK(!health.isHealthy(kStart, HostId{2}));
  health.onRemoteResult(kStart, 0, HostId{1}, false, std::nullopt);
  CHECK(health.isHealthy(kStart, HostId{1}));
}

TEST(HostHealth, RemoteResultsExpire) {
  health.onRemoteResult(kStart, 1, HostId{2}, false, std::nullopt);
  CHECK(!health.isHealthy(after(59), HostId{2}));
  CHECK(health.isHealthy(after(61), HostId{2}));
}

TEST(HostHealth, HostWithoutProbeEndpointIsAlwaysHealthy) {
  health.setHosts(kStart, {{HostId{1}, false, true}}, 1);
  health.setOwnedShards({0});
  CHECK(health.dueProbes(after(100)).empty());
  CHECK(health.mayTakeFlows(kStart, HostId{1}));
}

TEST(HostHealth, NewAndRecoveredHostsRampUp) {
  DOUBLES_EQUAL(1.0, health.rampFactor(kStart, HostId{1}), 1e-9);
  health.setHosts(after(10), hosts(7), 3);
  CHECK(health.rampFactor(after(10), HostId{7}) < 0.2);
  DOUBLES_EQUAL(0.5, health.rampFactor(after(25), HostId{7}), 1e-6);
  DOUBLES_EQUAL(1.0, health.rampFactor(after(41), HostId{7}), 1e-9);
  miss(1, 3);
  health.onProbe(after(50), HostId{1}, true, std::nullopt);
  health.onProbe(after(51), HostId{1}, true, std::nullopt);
  CHECK(health.rampFactor(after(51), HostId{1}) < 0.2);
}
