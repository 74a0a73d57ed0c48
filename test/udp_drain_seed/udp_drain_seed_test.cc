/** @file The seed of UdpDrain (test/common/shard/udp_drain_test.cc) that breaks its bound. */
#include "test/common/shard/region_scenario.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr uint32_t kDrainedHosts = 3;
constexpr uint64_t kSeed = 5;

}  // namespace

TEST_GROUP(UdpDrainSeed){};

TEST(UdpDrainSeed, OwnerThatDiesJustAfterTheDrainBeganLeavesNoGap) {
  CallerLoadOptions load;
  load.protocol = TransportProtocol::kUdp;
  load.flowsPerSecond = 50.0;
  load.meanLife = std::chrono::seconds(60);
  load.meanPacketGap = std::chrono::seconds(5);
  RegionOptions options;
  options.seed = kSeed;
  RegionScenario scenario(options, load);
  scenario.region.runFor(std::chrono::seconds(40));
  Service service = scenario.region.service();
  for (uint32_t index = 0; index < kDrainedHosts; ++index) {
    service.hosts[index].state = HostState::kDraining;
  }
  scenario.region.configure(service);
  scenario.region.runFor(std::chrono::milliseconds(700));
  scenario.region.killNode(scenario.ownerOf(0));
  scenario.region.runFor(std::chrono::seconds(25));
  const uint64_t established = scenario.region.oracle().established();
  CHECK(established > 2500);
  CHECK(scenario.region.oracle().broken() * 1000 < established);
}
