/** @file What an experiment builds: regions, zones, nodes, services, and the addresses of all
 * processes. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/config/service.h"

namespace umberhold::experiment {

/** One balancer process; it has an address of its own. */
struct NodePlan {
  uint32_t id = 0;
  std::string region;
  std::string zone;
  uint32_t address = 0;
};

/** One service with its callers. */
struct ServicePlan {
  std::string name;
  Endpoint address;
  TransportProtocol protocol = TransportProtocol::kTcp;
  uint32_t hosts = 0;
  /** Hosts that run but are not in the service's object at first. */
  uint32_t spareHosts = 0;
  /** Flows held open. */
  uint32_t flows = 0;
};

/** One region with its edge. */
struct RegionPlan {
  std::string name;
  std::vector<std::string> zones;
  std::vector<NodePlan> nodes;
  std::vector<ServicePlan> services;
  /** Latency between callers and the region, one way. */
  uint32_t clientLatencyMicros = 0;
  uint32_t fabricAddress = 0;
  uint32_t callerAddress = 0;
  uint32_t backendAddress = 0;
};

/** Everything that is started. */
struct Deployment {
  std::vector<RegionPlan> regions;
  uint32_t platformAddress = 0;
  uint32_t proxyAddress = 0;
};

/** Ports; every process has a loopback address of its own, so all may use the same ones. */
constexpr uint16_t kDataPort = 21001;
constexpr uint16_t kRelayPort = 21002;
constexpr uint16_t kControlPort = 21003;
constexpr uint16_t kAdminPort = 21004;
/** Ports of the proxy on a node's address; other nodes send to these. */
constexpr uint16_t kRelayFrontPort = 21012;
constexpr uint16_t kControlFrontPort = 21013;
/** Where the node reaches the platform, through the proxy. */
constexpr uint16_t kPlatformFrontPort = 21017;
/** HTTP control of a stand-in, and the port that takes its packets. */
constexpr uint16_t kStandinControlPort = 21005;
constexpr uint16_t kStandinDataPort = 21006;
constexpr uint16_t kPlatformPort = 21007;

/**
 * @param block second number of the 127.x addresses, so that runs side by side don't meet.
 * @return the two deployments of the first users, with today's sizes.
 */
Deployment planDeployment(uint8_t block);

}  // namespace umberhold::experiment
