/** @file Opens the ports. */
#include "common/server/node_ports.h"

#include <utility>

namespace umberhold {

Result<NodePorts, PortError> openPorts(const NodeSettings& settings) {
  NodePorts ports;
  struct Wanted {
    uint16_t number;
    std::unique_ptr<UdpPort>& port;
  };
  const Wanted all[] = {{settings.dataPort, ports.data},
                        {settings.relayPort, ports.relay},
                        {settings.controlPort, ports.control}};
  for (const Wanted& wanted : all) {
    auto opened = UdpPort::open({settings.address.value, wanted.number});
    if (!isOk(opened)) {
      return errorOf(opened);
    }
    wanted.port = std::move(valueOf(opened));
  }
  return ports;
}

}  // namespace umberhold
