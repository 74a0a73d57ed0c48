/** @file Read access to the services of this node's own region, for ownership and placement. */
#pragma once

#include <functional>

#include "common/base/strong_id.h"
#include "common/config/service.h"

namespace umberhold {

/** Read access to the services whose home region is this node's region; implemented by
 * catalog/service_catalog.h. */
class ServiceSource {
 public:
  virtual ~ServiceSource() = default;

  /**
   * @return the service with its hosts, or nullptr if it is unknown, deleted or has its home in
   * another region; valid until the next configuration change.
   */
  virtual const Service* find(ServiceId id) const = 0;
  /** Calls the visitor for every service of the region. */
  virtual void forEach(const std::function<void(ServiceId, const Service&)>& visitor) const = 0;
};

}  // namespace umberhold
