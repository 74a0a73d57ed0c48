/** @file Regions under planned and unplanned changes, checked by the oracle. */
#include "region_scenario.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

RegionOptions seeded(uint64_t seed) {
  RegionOptions options;
  options.seed = seed;
  return options;
}

}  // namespace

TEST_GROUP(Region){};

TEST(Region, EveryShardHasOneOwnerAndFlowsAreEstablished) {
  RegionScenario scenario(seeded(1));
  scenario.region.runFor(std::chrono::seconds(10));
  CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
  CHECK(scenario.region.oracle().established() > 800);
  CHECK(scenario.region.oracle().violations().empty());
}

/**
 * A simulated node was alive before it had contacted any other one, and owned all shards in
 * parallel with the other nodes.
 */
TEST(Region, NodesThatStartTogetherCreateEachShardOnce) {
  constexpr uint64_t kSeed = 94151;
  RegionScenario scenario(seeded(kSeed));
  scenario.region.runFor(std::chrono::seconds(20));
  uint64_t created = 0;
  for (const uint32_t id : scenario.region.runningNodes()) {
    created += scenario.region.director(id)->counters().shardsCreated;
  }
  CHECK_EQUAL(3U, created);
  CHECK(scenario.region.oracle().established() > 1500);
  CHECK(scenario.region.oracle().violations().empty());
}

TEST(Region, JoiningNodeOwnsNoShardAndReceivesNoPacket) {
  RegionScenario scenario(seeded(5));
  scenario.region.cutZone(RegionScenario::zoneOf(7));
  for (const uint32_t id : scenario.region.runningNodes()) {
    if (RegionScenario::zoneOf(id) == RegionScenario::zoneOf(7)) {
      scenario.region.killNode(id);
    }
  }
  scenario.region.startNode(7, RegionScenario::zoneOf(7));
  scenario.region.runFor(std::chrono::seconds(20));
  CHECK_EQUAL(0U, scenario.region.director(7)->ownedShards());
  CHECK_EQUAL(0U, scenario.region.oracle().broken());
  scenario.region.healZones();
  scenario.region.runFor(std::chrono::seconds(10));
  CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
}

TEST(Region, RestartingEveryNodeBreaksNoFlow) {
  RegionScenario scenario(seeded(2));
  scenario.region.runFor(std::chrono::seconds(20));
  for (uint32_t id = 1; id <= RegionScenario::kNodes; ++id) {
    scenario.restart(id);
  }
  scenario.region.runFor(std::chrono::seconds(5));
  CHECK(scenario.region.oracle().established() > 5000);
  CHECK(scenario.region.oracle().violations().empty());
  CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
}

TEST(Region, RestartingEveryNodeOnLossyNetworkBreaksNoFlow) {
  RegionOptions options = seeded(3);
  options.faults =
      NetworkFaults{0.1, 0.1, std::chrono::microseconds(100), std::chrono::milliseconds(30)};
  RegionScenario scenario(options);
  scenario.region.runFor(std::chrono::seconds(20));
  for (uint32_t id = 1; id <= RegionScenario::kNodes; ++id) {
    scenario.restart(id);
  }
  scenario.region.runFor(std::chrono::seconds(5));
  CHECK(scenario.region.oracle().established() > 5000);
  CHECK(scenario.region.oracle().violations().empty());
}

TEST(Region, DeathOfOwnerBreaksFewerThanOneFlowInAThousand) {
  uint64_t established = 0;
  uint64_t broken = 0;
  for (uint64_t seed = 10; seed < 15; ++seed) {
    RegionScenario scenario(seeded(seed));
    scenario.region.runFor(std::chrono::seconds(30));
    scenario.region.killNode(scenario.ownerOf(0));
    scenario.region.runFor(std::chrono::seconds(15));
    CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
    established += scenario.region.oracle().established();
    broken += scenario.region.oracle().broken();
  }
  CHECK(established > 15000);
  CHECK(broken * 1000 < established);
}

TEST(Region, DrainingHostsGetNoNewFlowsAndKeepExistingOnes) {
  RegionScenario scenario(seeded(4));
  scenario.region.runFor(std::chrono::seconds(20));
  Service service = scenario.region.service();
  for (uint32_t index = 0; index < 3; ++index) {
    service.hosts[index].state = HostState::kDraining;
    scenario.region.oracle().setDraining(service.hosts[index].endpoint,
                                         scenario.region.now() + std::chrono::seconds(1));
  }
  scenario.region.configure(service);
  scenario.restart(1);
  scenario.restart(2);
  scenario.region.runFor(std::chrono::seconds(20));
  CHECK(scenario.region.oracle().violations().empty());
}

/** The new owner dropped flows of hosts whose configuration it had not received yet. */
TEST(Region, NewOwnerKeepsFlowsOnHostsMissingFromItsConfiguration) {
  RegionOptions options = seeded(25);
  options.lags.configuration = std::chrono::seconds(8);
  RegionScenario scenario(options);
  scenario.region.runFor(std::chrono::seconds(20));
  Service service = scenario.region.service();
  for (uint32_t index = 0; index < 10; ++index) {
    HostSpec host = service.hosts.front();
    host.name = "added" + std::to_string(index);
    host.endpoint.address += 0x1000 + index;
    service.hosts.push_back(host);
  }
  scenario.region.configure(service);
  scenario.region.runFor(std::chrono::seconds(4));
  for (uint16_t shard = 0; shard < 3; ++shard) {
    scenario.region.leaveNode(scenario.ownerOf(shard));
    scenario.region.runFor(std::chrono::seconds(1));
  }
  scenario.region.runFor(std::chrono::seconds(10));
  CHECK(scenario.region.oracle().violations().empty());
}

/** Members that were partitioned from all holders of a shard took it for a new one. */
TEST(Region, PartitionedMembersDoNotCreateExistingShard) {
  RegionScenario scenario(seeded(30));
  scenario.region.runFor(std::chrono::seconds(10));
  scenario.region.cutZone(1);
  scenario.region.runFor(std::chrono::seconds(20));
  for (const uint32_t id : scenario.region.runningNodes()) {
    if (RegionScenario::zoneOf(id) == 1) {
      CHECK_EQUAL(0U, scenario.region.director(id)->counters().shardsCreated);
    }
  }
  scenario.region.healZones();
  scenario.region.runFor(std::chrono::seconds(10));
  CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
}

/** The update of a death right after a heal counted as older than the heal's, and was ignored. */
TEST(Region, DetectsDeathRightAfterHeal) {
  RegionScenario scenario(seeded(6));
  scenario.region.runFor(std::chrono::seconds(10));
  const uint32_t owner = scenario.ownerOf(0);
  scenario.region.healZones();
  scenario.region.killNode(owner);
  scenario.region.runFor(std::chrono::seconds(12));
  CHECK_EQUAL(3U, scenario.region.shardsWithOneOwner());
}
