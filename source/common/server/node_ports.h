/** @file The three UDP ports of a node. */
#pragma once

#include <memory>

#include "common/base/result.h"
#include "common/server/udp_port.h"
#include "common/settings/settings.h"

namespace umberhold {

/** The open ports of a node. */
struct NodePorts {
  std::unique_ptr<UdpPort> data;
  std::unique_ptr<UdpPort> relay;
  std::unique_ptr<UdpPort> control;
};

/** Opens the ports given in the settings. @return the ports, or the first error. */
Result<NodePorts, PortError> openPorts(const NodeSettings& settings);

}  // namespace umberhold
