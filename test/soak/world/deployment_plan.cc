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
constexpr uint32_t kAddressesPerGroup = 250;
constexpr size_t kSeedPeers = 3;

long long millisecondsOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

DeploymentPlan::DeploymentPlan(uint8_t block) : block_(block) {
  const std::vector<size_t> zoneOfNode = {0, 0, 0, 0, 0, 0, 1, 1, 1, 2, 2};
  for (size_t index = 0; index < zoneOfNode.size(); ++index) {
    NodePlan node;
    node.zone = zones_[zoneOfNode[index]];
    node.name = "front-" + node.zone + "-" + std::to_string(index + 1);
    const uint32_t nodeAddress = address(kNodeGroup, static_cast<uint32_t>(index) + 1);
    node.data = {nodeAddress, kDataPort};
    node.readiness = {nodeAddress, kReadinessPort};
    node.metrics = {nodeAddress, kMetricsPort};
    node.peer = {nodeAddress, kPeerPort};
    node.store = {nodeAddress, kStorePort};
    nodes_.push_back(node);
  }
}

std::vector<size_t> DeploymentPlan::nodesOfZonesWith(size_t nodeCount) const {
  std::vector<size_t> found;
  for (size_t index = 0; index < nodes_.size(); ++index) {
    const auto isInZone = [&](const NodePlan& node) { return node.zone == nodes_[index].zone; };
    const auto inZone = std::count_if(nodes_.begin(), nodes_.end(), isInZone);
    if (static_cast<size_t>(inZone) == nodeCount) {
      found.push_back(index);
    }
  }
  return found;
}

uint32_t DeploymentPlan::address(uint32_t group, uint32_t number) const {
  constexpr uint32_t kLoopback = 127;
  const uint32_t thirdOctet = group + number / kAddressesPerGroup;
  return (kLoopback << 24U) | (uint32_t{block_} << 16U) | (thirdOctet << 8U) |
         (number % kAddressesPerGroup + 1);
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
  for (size_t index = 0; index < std::min(kSeedPeers, plan.nodes().size()); ++index) {
    text << (index == 0 ? "" : ", ") << "\"" << toString(plan.nodes()[index].peer) << "\"";
  }
  text << "]\nchange_bound_milliseconds = " << millisecondsOf(plan.bounds().change)
       << "\ndrain_bound_milliseconds = " << millisecondsOf(plan.bounds().drain)
       << "\ndisturbance_grace_milliseconds = " << millisecondsOf(plan.bounds().settleTime)
       << "\nflow_life_seconds = 60\n";
  if (firstStart) {
    text << "first_start = true\n";
  }
  return text.str();
}

}  // namespace umberhold::soak
