/** @file Lookup of the service that a packet is addressed to; implemented by
 * catalog/service_catalog.h. */
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/strong_id.h"
#include "common/config/service.h"

namespace umberhold {

/** The service behind a virtual address. */
struct ServiceMatch {
  ServiceId service;
  /** Whether the service belongs to this node's region. */
  bool homeRegion = false;
};

/** Finds services by the destination of a packet. Called for every packet, so it must be a hash
 * lookup. */
class ServiceLookup {
 public:
  virtual ~ServiceLookup() = default;
  /** @param address virtual address, host byte order. @return nullopt if no service listens there.
   */
  virtual std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                           TransportProtocol protocol) const = 0;
};

}  // namespace umberhold
