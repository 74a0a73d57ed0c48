/** @file Plan of the system of an experiment: regions, zones, nodes, services and the addresses of
 * all processes. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/config/service.h"

namespace umberhold::experiment {

/** One balancer process with its own address. */
struct NodePlan {
  uint32_t id = 0;
  std::string region;
  std::string zone;
  uint32_t address = 0;
};

/** One service with its hosts and the flows of its callers. */
struct ServicePlan {
  std::string name;
  Endpoint address;
  TransportProtocol protocol = TransportProtocol::kTcp;
  uint32_t hosts = 0;
  /** Number of additional hosts that run but are not part of the initial service. */
  uint32_t spareHosts = 0;
  /** Number of flows that callers keep open. */
  uint32_t flows = 0;
};

/** One region with its fabric, callers and hosts. */
struct RegionPlan {
  std::string name;
  std::vector<std::string> zones;
  std::vector<NodePlan> nodes;
  std::vector<ServicePlan> services;
  /** One-way latency between callers and the region in microseconds. */
  uint32_t clientLatencyMicros = 0;
  uint32_t fabricAddress = 0;
  uint32_t callerAddress = 0;
  uint32_t backendAddress = 0;
};

/** The whole system. */
struct Deployment {
  std::vector<RegionPlan> regions;
  uint32_t platformAddress = 0;
  uint32_t proxyAddress = 0;
};

/** Ports of the nodes. All nodes use the same ones, because each has its own loopback address. */
constexpr uint16_t kDataPort = 21001;
constexpr uint16_t kRelayPort = 21002;
constexpr uint16_t kControlPort = 21003;
constexpr uint16_t kAdminPort = 21004;
/** Ports of the proxy on the address of a node, to which other nodes send. */
constexpr uint16_t kRelayFrontPort = 21012;
constexpr uint16_t kControlFrontPort = 21013;
/** Port of the proxy on the address of a node, through which the node reaches the platform. */
constexpr uint16_t kPlatformFrontPort = 21017;
/** Ports of stand-ins for HTTP control and for packets, and port of the platform's API. */
constexpr uint16_t kStandinControlPort = 21005;
constexpr uint16_t kStandinDataPort = 21006;
constexpr uint16_t kPlatformPort = 21007;

/**
 * @param block second octet of the loopback addresses, see AddressBlock. Concurrent runs must use
 * different ones.
 * @return one region for each of the first two users, in the current size of its deployment.
 */
Deployment planDeployment(uint8_t block);

}  // namespace umberhold::experiment
