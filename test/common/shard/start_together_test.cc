/**
 * @file Nodes that start within a few seconds and receive each other's joins in different order.
 */
#include <vector>

#include "region_scenario.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr uint64_t kMaxGapMilliseconds = 400;
constexpr uint32_t kHosts = 15;

/** @return the number of owned shards whose owner knows all flows: no flow was placed yet. */
uint32_t shardsWithCompleteFlowList(uint64_t seed, Duration membershipLag) {
  RegionOptions options;
  options.seed = seed;
  options.lags.membership = membershipLag;
  options.faults =
      NetworkFaults{0, 0, std::chrono::microseconds(500), std::chrono::milliseconds(6)};
  SimulatedRegion region(options);
  region.configure(serviceWithHosts(kHosts, TransportProtocol::kUdp));
  RandomSource random(seed);
  for (uint32_t id = 1; id <= RegionScenario::kNodes; ++id) {
    region.startNode(id, RegionScenario::zoneOf(id));
    region.runFor(std::chrono::milliseconds(random.below(kMaxGapMilliseconds)));
  }
  region.runFor(std::chrono::seconds(10));
  uint32_t complete = 0;
  for (const uint32_t id : region.runningNodes()) {
    for (const ShardStats& stats : region.director(id)->shardStats(region.now())) {
      complete += stats.role == ShardRole::kOwner && stats.knowsAllFlows ? 1 : 0;
    }
  }
  return complete;
}

}  // namespace

TEST_GROUP(StartTogether){};

/** Seeds with which an owner took over a replica's copy or its own outdated state. */
TEST(StartTogether, OwnersOfNewRegionHaveCompleteFlowList) {
  for (const uint64_t seed : {12U, 39U, 43U, 51U}) {
    CHECK_EQUAL(3U, shardsWithCompleteFlowList(seed, std::chrono::milliseconds(600)));
  }
  for (const uint64_t seed : {18U, 23U, 26U, 71U}) {
    CHECK_EQUAL(3U, shardsWithCompleteFlowList(seed, std::chrono::milliseconds(200)));
  }
}
