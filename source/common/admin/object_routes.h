/** @file GET, PUT and DELETE of services and policies. */
#pragma once

#include "common/admin/api_context.h"

namespace umberhold {

/** Lists the effective objects of a kind on this node. */
AdminResponse listObjects(ApiContext& context, const ApiKind& kind);
/** Reads one object from the store, or its effective state on this node if the store is down. */
AdminResponse getObject(ApiContext& context, const ApiKind& kind, const std::string& name);
/** Creates (If-Match: 0) or replaces an object; with dry_run it only validates and compares. */
AdminResponse putObject(ApiContext& context, const ApiKind& kind, const std::string& name,
                        const AdminRequest& request);
AdminResponse deleteObject(ApiContext& context, const ApiKind& kind, const std::string& name,
                           const AdminRequest& request);

}  // namespace umberhold
