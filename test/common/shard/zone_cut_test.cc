/**
 * @file Zones that are partitioned from the others while callers' packets still reach all of them.
 */
#include "region_fuzzer.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

/** Few hosts, so that many flows are exceptions, and membership updates that take up to 2 s. */
class PartitionScenario : public RegionScenario {
 public:
  explicit PartitionScenario(uint64_t seed)
      : RegionScenario(slowMembershipUpdates(seed), busyCallers(), kHosts) {
    region.runFor(std::chrono::seconds(20));
  }

 private:
  static constexpr uint32_t kHosts = 4;

  static RegionOptions slowMembershipUpdates(uint64_t seed) {
    RegionOptions options;
    options.seed = seed;
    options.lags.membership = std::chrono::seconds(2);
    return options;
  }
  static CallerLoadOptions busyCallers() {
    CallerLoadOptions load;
    load.meanPacketGap = std::chrono::milliseconds(300);
    return load;
  }
};

}  // namespace

TEST_GROUP(ZoneCut){};

/** A copy that was minutes old was taken over and used for placing flows. */
TEST(ZoneCut, PartitionedMembersDoNotServeOutdatedReplica) {
  for (const uint64_t seed : {2, 6}) {
    PartitionScenario scenario(seed);
    scenario.region.cutZone(1);
    scenario.region.runFor(std::chrono::seconds(15));
    CHECK(scenario.region.oracle().established() > 3000);
    CHECK_EQUAL(0U, scenario.region.oracle().broken());
  }
}

/** Owners of both sides place flows before they can reach each other again. */
TEST(ZoneCut, FlowsSurviveHeal) {
  for (const uint64_t seed : {4, 5}) {
    PartitionScenario scenario(seed);
    scenario.region.cutZone(1);
    scenario.region.runFor(std::chrono::seconds(15));
    scenario.region.healZones();
    scenario.region.runFor(std::chrono::seconds(15));
    CHECK(scenario.region.oracle().established() > 4500);
    CHECK_EQUAL(0U, scenario.region.oracle().broken());
    CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
  }
}

/** A member that could reach only a few others again created an existing shard. */
TEST(ZoneCut, PartiallyHealedMembersDoNotCreateExistingShard) {
  for (uint64_t seed = 60; seed < 66; ++seed) {
    PartitionScenario scenario(seed);
    scenario.region.cutZone(1);
    scenario.region.runFor(std::chrono::seconds(2));
    Service service = scenario.region.service();
    HostSpec host = service.hosts.front();
    host.name = "added";
    host.endpoint.address += 0x1000;
    service.hosts.push_back(host);
    scenario.region.configure(service);
    scenario.region.runFor(std::chrono::seconds(13));
    scenario.region.healZones();
    scenario.region.runFor(std::chrono::seconds(15));
    CHECK_EQUAL(0U, scenario.region.oracle().broken());
    CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
  }
}

/** Dead members are not sent to a joining node, so it did not detect the unreachable zones. */
TEST(ZoneCut, JoiningNodesInPartitionedZoneDoNotCreateExistingShard) {
  constexpr uint32_t kJoiners[] = {9, 12, 15, 18};
  PartitionScenario scenario(7);
  scenario.region.cutZone(1);
  scenario.region.runFor(std::chrono::seconds(10));
  for (const uint32_t id : kJoiners) {
    CHECK_EQUAL(1U, RegionScenario::zoneOf(id));
    scenario.region.startNode(id, 1);
  }
  scenario.region.runFor(std::chrono::seconds(10));
  for (const uint32_t id : kJoiners) {
    CHECK_EQUAL(0U, scenario.region.director(id)->counters().shardsCreated);
  }
  scenario.region.healZones();
  scenario.region.runFor(std::chrono::seconds(15));
  CHECK_EQUAL(0U, scenario.region.oracle().broken());
  CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
}

/** The members are dead, not partitioned: the survivors hold replicas and continue. */
TEST(ZoneCut, DeathOfWholeZoneBreaksFewerThanOneFlowInAThousand) {
  uint64_t established = 0;
  uint64_t broken = 0;
  for (uint64_t seed = 50; seed < 54; ++seed) {
    PartitionScenario scenario(seed);
    for (const uint32_t id : scenario.region.runningNodes()) {
      if (RegionScenario::zoneOf(id) == 2) {
        scenario.region.killNode(id);
      }
    }
    scenario.region.runFor(std::chrono::seconds(20));
    CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
    established += scenario.region.oracle().established();
    broken += scenario.region.oracle().broken();
  }
  CHECK(established > 12000);
  CHECK(broken * 1000 < established);
}

/**
 * A whole zone and all state of two shards are lost. This cannot be distinguished from a partition,
 * so the shards wait until the zone counts as dead, and no longer.
 */
TEST(ZoneCut, CreatesShardAgainOnceZoneWithItsStateCountsAsDead) {
  constexpr uint64_t kSeed = 20336;
  constexpr uint32_t kConnectionLimit = 60;
  RegionFuzzer fuzzer(kSeed, TransportProtocol::kTcp, kConnectionLimit);
  fuzzer.run(
      {{Disturbance::kKill, 3, 3881}, {Disturbance::kKill, 18, 278}, {Disturbance::kKill, 8, 104}});
  CHECK_EQUAL(2U, fuzzer.region().shardsWithOneOwner());
  CHECK(fuzzer.everyShardGetsOneOwner());
  CHECK_EQUAL(0U, fuzzer.count(Violation::Kind::kRefusedThenForwarded));
  CHECK_EQUAL(0U, fuzzer.count(Violation::Kind::kForwardedThenRefused));
}
