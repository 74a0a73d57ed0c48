/** @file Drains and undrains a host by changing its state in the service object. */
#pragma once

#include "common/admin/api_context.h"

namespace umberhold {

/**
 * Sets the host to draining. The body may contain {"deadline_seconds": N}: after that time the
 * host's remaining flows may be cut; without it they never are. Without If-Match, the change is
 * based on the service's current version.
 */
AdminResponse drainHost(ApiContext& context, const std::string& service, const std::string& host,
                        const AdminRequest& request);
/** Sets the host to active. */
AdminResponse undrainHost(ApiContext& context, const std::string& service, const std::string& host,
                          const AdminRequest& request);

}  // namespace umberhold
