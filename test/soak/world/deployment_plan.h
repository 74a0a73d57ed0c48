/** @file The nodes of a soak and the loopback addresses of its components. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"

namespace umberhold::soak {

/** Load of the callers and capacity of the hosts. */
enum class SoakLoad : uint8_t {
  /** Hosts are identical and have no limits. */
  kUsual,
  /** Hosts differ in speed and have request slots, a short queue and a flow limit; at times the
   * capacity is too small for the load. */
  kHard,
};

/** One node. */
struct NodePlan {
  std::string name;
  std::string zone;
  Endpoint data;
  Endpoint readiness;
  Endpoint metrics;
  Endpoint peer;
  /** Endpoint of the store for this node; a proxy behind it can cut the node off. */
  Endpoint store;
};

/** Time bounds of the deployment, as at the users' sites. */
struct TimeBounds {
  /** Maximum time from a change in the store to its use by all nodes. */
  Duration change = std::chrono::seconds(3);
  /** Maximum time for which a leaving host still receives new flows. */
  Duration drain = std::chrono::seconds(3);
  /** Time without disturbance after which the other bounds apply. */
  Duration settleTime = std::chrono::seconds(4);
  /** Time for which a node may still use an older version after it has shown a newer one. */
  Duration olderVersionGrace = std::chrono::milliseconds(250);
  /** Maximum time from the end of the last fault until requests are served as usual. */
  Duration recovery = std::chrono::seconds(12);
  /** Minimum time between the end of a host and the reuse of its address. */
  Duration addressReuseDelay = std::chrono::seconds(2);
  Duration heartbeatInterval = std::chrono::milliseconds(1200);
};

/** Addresses are 127.BLOCK.GROUP.NUMBER. */
class DeploymentPlan {
 public:
  /** One zone of six nodes, of which one reads the store for the others, and two zones of two. */
  explicit DeploymentPlan(uint8_t block);

  const std::vector<NodePlan>& nodes() const { return nodes_; }
  const std::vector<std::string>& zones() const { return zones_; }
  /** @return the indices of the nodes in the zones that have this many nodes. */
  std::vector<size_t> nodesOfZonesWith(size_t nodeCount) const;
  const TimeBounds& bounds() const { return bounds_; }
  Endpoint hostAddress(uint32_t number) const;
  uint32_t callerAddress(uint32_t number) const;
  /** @return the address that receives the answers to configuration probes. */
  uint32_t probeAddress() const;
  /** Port at which callers receive packets. */
  static constexpr uint16_t kDataPort = 8172;

 private:
  uint32_t address(uint32_t group, uint32_t number) const;

  uint8_t block_;
  std::vector<std::string> zones_ = {"bole", "piassa", "merkato"};
  std::vector<NodePlan> nodes_;
  TimeBounds bounds_;
};

/** @return the settings file of a node. */
std::string settingsText(const DeploymentPlan& plan, const NodePlan& node, bool firstStart);

}  // namespace umberhold::soak
