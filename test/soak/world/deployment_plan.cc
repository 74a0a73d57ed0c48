#include "test/soak/world/deployment_plan.h"

#include <algorithm>
#include <sstream>

namespace umberhold::soak {
namespace {

constexpr uint32_t kNodeGroup = 1;
constexpr uint32_t kHostGroup = 2;
constexpr uint32_t kCallerGroup = 4;
constexpr uint32_t kProbeGroup = 6;
constexpr uint16_t kReadinessPort = 8167;
constexpr uint16_t kPeerPort = 8166;
constexpr uint16_t kMetricsPort = 9464;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kHostPort = 9000;
constexpr uint32_t kNumbersOfGroup = 250;
constexpr size_t kSeeds = 3;

long long millisecondsOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

DeploymentPlan::DeploymentPlan(uint8_t block) : block_(block) {
  const std::vector<size_t> zoneOfNode = {0, 0, 0, 0, 0, 0, 1, 1, 2, 2};
  for (size_t index = 0; index < zoneOfNode.size(); ++index) {
    NodePlan node;
    node.zone = zones_[zoneOfNode[index]];
    node.name = "front-" + node.zone + "-" + std::to_string(index + 1);
    const uint32_t own = address(kNodeGroup, static_cast<uint32_t>(index) + 1);
    node.data = {own, kDataPort};
    node.readiness = {own, kReadinessPort};
    node.metrics = {own, kMetricsPort};
    node.peer = {own, kPeerPort};
    node.store = {own, kStorePort};
    nodes_.push_back(node);
  }
}

uint32_t DeploymentPlan::address(uint32_t group, uint32_t number) const {
  constexpr uint32_t kLoopback = 127;
  const uint32_t third = group + number / kNumbersOfGroup;
  return (kLoopback << 24U) | (uint32_t{block_} << 16U) | (third << 8U) |
         (number % kNumbersOfGroup + 1);
}

Endpoint DeploymentPlan::hostAddress(uint32_t number) const {
  return {address(kHostGroup, number), kHostPort};
}

uint32_t DeploymentPlan::callerAddress(uint32_t number) const {
  return address(kCallerGroup, number);
}

uint32_t DeploymentPlan::probeAddress() const {
  return address(kProbeGroup, 0);
}

std::string settingsText(const DeploymentPlan& plan, const NodePlan& node, bool firstStart) {
  std::ostringstream text;
  text << "node = \"" << node.name << "\"\nregion = \"addis\"\nzone = \"" << node.zone
       << "\"\ndata = \"" << toString(node.data) << "\"\nreadiness = \"" << toString(node.readiness)
       << "\"\nreadiness_path = \"/api/readiness\"\nmetrics = \"" << toString(node.metrics)
       << "\"\nrequest_header = \"Umberhold-Request-Id\"\nstore = \"" << toString(node.store)
       << "\"\npeer_address = \"" << toString(node.peer) << "\"\npeers = [";
  for (size_t index = 0; index < std::min(kSeeds, plan.nodes().size()); ++index) {
    text << (index == 0 ? "" : ", ") << "\"" << toString(plan.nodes()[index].peer) << "\"";
  }
  text << "]\nchange_bound_milliseconds = " << millisecondsOf(plan.bounds().change)
       << "\ndrain_bound_milliseconds = " << millisecondsOf(plan.bounds().drain)
       << "\nflow_life_seconds = 60\n";
  if (firstStart) {
    text << "first_start = true\n";
  }
  return text.str();
}

}  // namespace umberhold::soak
