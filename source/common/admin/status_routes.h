/** @file Node status, cluster members, coverage of a version, and placement of a flow. */
#pragma once

#include "common/admin/api_context.h"

namespace umberhold {

AdminResponse getStatus(ApiContext& context);
AdminResponse getMembers(ApiContext& context);
/** Query: version. */
AdminResponse getCoverage(ApiContext& context, const AdminRequest& request);
/** Query: service, caller ("a.b.c.d:port"). */
AdminResponse getExplanation(ApiContext& context, const AdminRequest& request);

}  // namespace umberhold
