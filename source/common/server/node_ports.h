/** @file The three UDP ports of a node. */
#pragma once

#include <memory>

#include "common/base/result.h"
#include "common/server/udp_port.h"
#include "common/settings/settings.h"

namespace umberhold {

/** The ports, all open. */
struct NodePorts {
  std::unique_ptr<UdpPort> data;
  std::unique_ptr<UdpPort> relay;
  std::unique_ptr<UdpPort> control;
};

/** Opens the ports that the settings name; @return the first failure otherwise. */
Result<NodePorts, PortError> openPorts(const NodeSettings& settings);

}  // namespace umberhold
