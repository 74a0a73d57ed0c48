/** @file Dependencies of the admin API's routes, and helpers that parse requests. */
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/admin/api_error.h"
#include "common/admin/api_kind.h"
#include "common/admin/call_clock.h"
#include "common/admin/change_coordinator.h"
#include "common/node/node_status.h"
#include "common/policy/policy_engine.h"

namespace umberhold {

/** Dependencies shared by all routes; all borrowed. */
struct ApiContext {
  PlatformStore& store;
  ChangeCoordinator& changes;
  NodeStatus& node;
  PolicyEngine& policies;
  CallClock& clock;
  /** Held while the policy engine compiles, because the engine need not be thread safe. */
  std::mutex policiesMutex;
};

/** @return the segments of a path, without empty ones. */
std::vector<std::string> splitPath(const std::string& path);

/**
 * @return the version in the If-Match header, with or without quotes, or nothing if the header is
 * absent.
 */
Result<std::optional<uint64_t>, ApiError> expectedVersionOf(const AdminRequest& request);

/** @return whether the query parameter is "true" or "1". */
bool isSet(const AdminRequest& request, std::string_view parameter);

/** @return the whole text as a decimal integer, or nothing if it is not one. */
std::optional<uint64_t> parseNumber(std::string_view text);

/** @return the request id of the client, or a newly generated one. */
std::string requestIdOf(const AdminRequest& request);

/**
 * @return the operator's name from the query parameter "author", at most 64 characters; "unnamed"
 * if absent. Informational only.
 */
std::string authorOf(const AdminRequest& request);

/** @return 503 if the node did not answer, 404 if the item is unknown, 400 if unsupported. */
AdminResponse toResponse(const NodeStatusError& error);
/** @return 404 if the object does not exist, otherwise 503 with Retry-After. */
AdminResponse toResponse(const StoreError& error);
/** @return the response to a change with this outcome. */
AdminResponse toResponse(const ChangeOutcome& outcome, const ChangeRequest& request);

/** @return an error response without details. */
AdminResponse errorAnswer(ApiErrorCode code, const std::string& message);

}  // namespace umberhold
