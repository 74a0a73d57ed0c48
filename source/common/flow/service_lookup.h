/** @file Which service a packet is meant for; catalog/service_catalog.h implements it. */
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/strong_id.h"
#include "common/config/service.h"

namespace umberhold {

/** The service behind a virtual address. */
struct ServiceMatch {
  ServiceId service;
  /** Whether the service is at home in this node's region. */
  bool homeRegion = false;
};

/** Finds services by what a packet carries; asked once a packet, so it must be a hash lookup. */
class ServiceLookup {
 public:
  virtual ~ServiceLookup() = default;
  /** @param address virtual address, host byte order. @return nothing where no service listens
   * there. */
  virtual std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                           TransportProtocol protocol) const = 0;
};

}  // namespace umberhold
