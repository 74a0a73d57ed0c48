/** @file GET, PUT and DELETE of services and policies. */
#pragma once

#include "common/admin/api_context.h"

namespace umberhold {

/** Lists the objects of a kind that are effective on this node. */
AdminResponse listObjects(ApiContext& context, const ApiKind& kind);
/** Reads one object from the store, or as it is effective on this node while the store is down. */
AdminResponse getObject(ApiContext& context, const ApiKind& kind, const std::string& name);
/** Creates (If-Match: 0) or replaces an object; with dry_run only validates and compares. */
AdminResponse putObject(ApiContext& context, const ApiKind& kind, const std::string& name,
                        const AdminRequest& request);
AdminResponse deleteObject(ApiContext& context, const ApiKind& kind, const std::string& name,
                           const AdminRequest& request);

}  // namespace umberhold
