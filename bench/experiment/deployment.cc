#include "deployment.h"

namespace umberhold::experiment {
namespace {

constexpr uint32_t kNodesPerRegion = 6;
constexpr uint32_t kLargeServiceFlows = 900;
constexpr uint32_t kSmallServiceFlows = 150;
constexpr uint32_t kLargeServiceHosts = 15;
constexpr uint32_t kSmallServiceHosts = 4;
constexpr uint32_t kLargeServiceSpareHosts = 2;
constexpr uint32_t kSmallServiceSpareHosts = 1;
constexpr uint16_t kServicePort = 443;
constexpr uint32_t kAddisLatencyMicros = 1000;
constexpr uint32_t kHobartLatencyMicros = 3000;

/** Third octet of the addresses by kind of process; the index of the region is added. */
constexpr uint8_t kNodeGroup = 1;
constexpr uint8_t kRegionStandinGroup = 21;
constexpr uint8_t kGlobalStandinGroup = 31;

uint32_t loopback(uint8_t block, uint32_t group, uint32_t number) {
  constexpr uint32_t kLoopback = 127;
  return (kLoopback << 24) | (uint32_t{block} << 16) | (group << 8) | number;
}

ServicePlan service(const std::string& name, uint32_t address, TransportProtocol protocol,
                    bool large) {
  ServicePlan plan;
  plan.name = name;
  plan.address = Endpoint{address, kServicePort};
  plan.protocol = protocol;
  plan.hosts = large ? kLargeServiceHosts : kSmallServiceHosts;
  plan.spareHosts = large ? kLargeServiceSpareHosts : kSmallServiceSpareHosts;
  plan.flows = large ? kLargeServiceFlows : kSmallServiceFlows;
  return plan;
}

RegionPlan region(uint8_t block, uint32_t index, const std::string& name,
                  const std::vector<std::string>& zones) {
  RegionPlan plan;
  plan.name = name;
  plan.zones = zones;
  for (uint32_t number = 0; number < kNodesPerRegion; ++number) {
    NodePlan node;
    node.id = index * 100 + number + 1;
    node.region = name;
    node.zone = zones[number % zones.size()];
    node.address = loopback(block, kNodeGroup + index, number + 1);
    plan.nodes.push_back(node);
  }
  plan.fabricAddress = loopback(block, kRegionStandinGroup + index, 1);
  plan.callerAddress = loopback(block, kRegionStandinGroup + index, 2);
  plan.backendAddress = loopback(block, kRegionStandinGroup + index, 3);
  return plan;
}

}  // namespace

Deployment planDeployment(uint8_t block) {
  Deployment deployment;
  RegionPlan addis = region(block, 0, "addis", {"bole", "piassa", "merkato"});
  addis.clientLatencyMicros = kAddisLatencyMicros;
  addis.services.push_back(service("dispatch", 0x0A010001, TransportProtocol::kTcp, true));
  addis.services.push_back(service("mapstore", 0x0A010002, TransportProtocol::kTcp, false));
  RegionPlan hobart = region(block, 1, "hobart", {"hobart-1", "hobart-2", "hobart-3"});
  hobart.clientLatencyMicros = kHobartLatencyMicros;
  hobart.services.push_back(service("fleet", 0x0A020001, TransportProtocol::kTcp, true));
  hobart.services.push_back(service("docs", 0x0A020002, TransportProtocol::kUdp, false));
  deployment.regions = {addis, hobart};
  deployment.platformAddress = loopback(block, kGlobalStandinGroup, 1);
  deployment.proxyAddress = loopback(block, kGlobalStandinGroup, 2);
  return deployment;
}

}  // namespace umberhold::experiment
