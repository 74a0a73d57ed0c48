/** @file Services of this node's own region, as ownership and placement see them. */
#pragma once

#include <functional>

#include "common/base/strong_id.h"
#include "common/config/service.h"

namespace umberhold {

/** Read access to the services whose home region is this node's; catalog/service_catalog.h
 * implements it. */
class ServiceSource {
 public:
  virtual ~ServiceSource() = default;

  /**
   * @return the service with its hosts, or nullptr where it is unknown, deleted or at home in
   * another region; valid until the next change of the configuration.
   */
  virtual const Service* find(ServiceId id) const = 0;
  /** Calls the visitor for every service of the region. */
  virtual void forEach(const std::function<void(ServiceId, const Service&)>& visitor) const = 0;
};

}  // namespace umberhold
