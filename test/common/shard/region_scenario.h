/** @file A region with one service and callers, as a basis for tests. */
#pragma once

#include <string>

#include "standins/flows/caller_load.h"
#include "standins/flows/simulated_region.h"

namespace umberhold {

inline Service serviceWithHosts(uint32_t hosts, TransportProtocol protocol) {
  Service service;
  service.name = "fleet";
  service.region = "hobart";
  service.address = 0x0A010101;
  service.port = 443;
  service.protocol = protocol;
  service.idleTimeoutSeconds = 600;
  for (uint32_t index = 1; index <= hosts; ++index) {
    HostSpec host;
    host.name = "host" + std::to_string(index);
    host.endpoint = Endpoint{0x0B000000 + index, 6080};
    service.hosts.push_back(host);
  }
  return service;
}

/** Six nodes in three zones, and fifteen hosts by default. */
class RegionScenario {
 public:
  static constexpr uint32_t kNodes = 6;
  static constexpr uint32_t kZones = 3;

  /**
   * The order of creation: the nodes observe the creation of the service, or the service exists
   * first.
   */
  enum class Start : uint8_t { kNodesFirst, kServiceFirst };

  explicit RegionScenario(RegionOptions options, CallerLoadOptions load = {}, uint32_t hosts = 15,
                          Start start = Start::kNodesFirst)
      : region(std::move(options)), callers(region, load) {
    if (start == Start::kServiceFirst) {
      region.configure(serviceWithHosts(hosts, load.protocol));
    }
    for (uint32_t id = 1; id <= kNodes; ++id) {
      region.startNode(id, zoneOf(id));
      if (start == Start::kServiceFirst) {
        // A node becomes ready only after it has contacted the others.
        region.runFor(std::chrono::seconds(1));
      }
    }
    region.runFor(std::chrono::seconds(3));
    if (start == Start::kNodesFirst) {
      region.configure(serviceWithHosts(hosts, load.protocol));
    }
    region.runFor(std::chrono::seconds(3));
    callers.start();
  }

  static uint32_t zoneOf(uint32_t node) { return node % kZones + 1; }

  /** @return the node that owns the shard, or 0. */
  uint32_t ownerOf(uint16_t index) const {
    for (const uint32_t id : region.runningNodes()) {
      for (const ShardStats& stats : region.director(id)->shardStats(region.now())) {
        if (stats.shard.index == index && stats.role == ShardRole::kOwner) {
          return id;
        }
      }
    }
    return 0;
  }

  void restart(uint32_t id) {
    region.leaveNode(id);
    while (!region.hasEnded(id)) {
      region.runFor(std::chrono::seconds(1));
    }
    region.startNode(id, zoneOf(id));
    region.runFor(std::chrono::seconds(3));
  }

  SimulatedRegion region;
  CallerLoad callers;
};

}  // namespace umberhold
