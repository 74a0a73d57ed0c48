/** @file Reports the outcome of a request and recent changes, from the histories in the store. */
#pragma once

#include "common/admin/api_context.h"

namespace umberhold {

/** Query: kind and name of the changed object; without them all objects are searched. */
AdminResponse getRequest(ApiContext& context, const std::string& requestId,
                         const AdminRequest& request);
/** Query: limit (default 50, maximum 500); kind and name to select the changes of one object. */
AdminResponse getHistory(ApiContext& context, const AdminRequest& request);

}  // namespace umberhold
