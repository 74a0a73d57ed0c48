/** @file Builds valid services for tests. */
#pragma once

#include <cstdint>
#include <string>

#include "common/config/service.h"

namespace umberhold {

/**
 * @param number determines the virtual address and host endpoints; unique per service.
 * @return a service with the hosts "<name>-0", "<name>-1", ...
 */
inline Service makeService(const std::string& name, uint8_t number, uint8_t hosts) {
  constexpr uint32_t kVirtualNetwork = 0x0A000000;
  constexpr uint32_t kHostNetwork = 0x0A010000;
  constexpr uint16_t kHostPort = 6080;
  constexpr uint16_t kProbePort = 8080;
  Service service;
  service.name = name;
  service.region = "addis";
  service.address = kVirtualNetwork + number;
  service.port = 443;
  for (uint8_t index = 0; index < hosts; ++index) {
    HostSpec host;
    host.name = name + "-" + std::to_string(index);
    host.endpoint = {kHostNetwork + number * 256U + index, kHostPort};
    host.probe = {host.endpoint.address, kProbePort};
    host.zone = "bole";
    service.hosts.push_back(host);
  }
  return service;
}

}  // namespace umberhold
