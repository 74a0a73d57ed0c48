/** @file Tests of scenarios, the deployment plan and the generated node settings. */
#include <set>
#include <string>

#include "bench/experiment/deployment.h"
#include "bench/experiment/node_settings_text.h"
#include "bench/experiment/scenario.h"
#include "common/settings/settings.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

using namespace umberhold;
using namespace umberhold::experiment;

TEST_GROUP_BASE(Plan, test::WithoutLeakDetection) {
  const Deployment deployment = planDeployment(20);
};

TEST(Plan, FindScenarioRequiresExactName) {
  for (const char* name : {"demo", "steady", "rolling-restart", "node-kill", "backend-drain",
                           "cold-start", "zone-cut", "misleading-health", "combined"}) {
    const Scenario* scenario = findScenario(name);
    CHECK_TRUE_TEXT(scenario != nullptr, name);
    CHECK_EQUAL(std::string(name), scenario->name);
    CHECK_TRUE(scenario->defaultSeconds > 0);
  }
  CHECK_TRUE(findScenario("stead") == nullptr);
  CHECK_TRUE(findScenario("") == nullptr);
}

TEST(Plan, EveryProcessHasItsOwnAddressInTheBlock) {
  std::set<uint32_t> addresses = {deployment.platformAddress, deployment.proxyAddress};
  size_t planned = addresses.size();
  for (const RegionPlan& region : deployment.regions) {
    addresses.insert({region.fabricAddress, region.callerAddress, region.backendAddress});
    planned += 3 + region.nodes.size();
    for (const NodePlan& node : region.nodes) {
      addresses.insert(node.address);
      CHECK_EQUAL(region.name, node.region);
    }
  }
  CHECK_EQUAL(planned, addresses.size());
  for (const uint32_t address : addresses) {
    CHECK_EQUAL(0x7F14U, address >> 16);
  }
}

TEST(Plan, EveryRegionHasThreeZonesWithTwoNodesEach) {
  CHECK_EQUAL(2U, deployment.regions.size());
  for (const RegionPlan& region : deployment.regions) {
    CHECK_EQUAL(3U, region.zones.size());
    for (const std::string& zone : region.zones) {
      size_t nodes = 0;
      for (const NodePlan& node : region.nodes) {
        nodes += node.zone == zone ? 1 : 0;
      }
      CHECK_EQUAL(2U, nodes);
    }
  }
}

TEST(Plan, GeneratedSettingsAreValid) {
  for (const RegionPlan& region : deployment.regions) {
    for (const NodePlan& node : region.nodes) {
      const auto settings = parseSettings(settingsText(node, region, {"token", "owned", true}), {});
      CHECK_TRUE(isOk(settings));
      CHECK_EQUAL(node.id, valueOf(settings).nodeId);
      CHECK_EQUAL(node.zone, valueOf(settings).zone);
      CHECK_EQUAL(3U, valueOf(settings).seeds.size());
      CHECK_TRUE(valueOf(settings).ownerRelay);
    }
  }
}

TEST(Plan, GeneratedSettingsContainStrategyAndOwnerRelay) {
  const RegionPlan& region = deployment.regions.front();
  const auto settings =
      parseSettings(settingsText(region.nodes.front(), region, {"token", "plain-hash", false}), {});
  CHECK_TRUE(isOk(settings));
  CHECK_TRUE(valueOf(settings).strategy == FlowStrategy::kPlainHash);
  CHECK_FALSE(valueOf(settings).ownerRelay);
}
