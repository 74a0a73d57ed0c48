/** @file Flows of UDP services, whose packets do not mark the start of a flow. */
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

CallerLoadOptions datagrams() {
  CallerLoadOptions load;
  load.protocol = TransportProtocol::kUdp;
  return load;
}

void drainThreeHosts(SimulatedRegion& region) {
  Service service = region.service();
  for (uint32_t index = 0; index < 3; ++index) {
    service.hosts[index].state = HostState::kDraining;
    region.oracle().setDraining(service.hosts[index].endpoint,
                                region.now() + std::chrono::seconds(1));
  }
  region.configure(service);
}

}  // namespace

TEST_GROUP(DatagramFlows){};

/** Guards against owners without a complete flow list when the service is older than the nodes. */
TEST(DatagramFlows, KeepsNewFlowsOffDrainingHostsWhereServiceIsOlderThanNodes) {
  RegionScenario scenario(seeded(41), datagrams(), 15, RegionScenario::Start::kServiceFirst);
  scenario.region.runFor(std::chrono::seconds(20));
  drainThreeHosts(scenario.region);
  scenario.region.runFor(std::chrono::seconds(20));
  CHECK(scenario.region.oracle().established() > 3000);
  CHECK(scenario.region.oracle().violations().empty());
}
