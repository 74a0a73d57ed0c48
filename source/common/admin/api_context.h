/** @file What the routes of the admin API work on, and how they read a request. */
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

/** Everything that routes use; all borrowed. */
struct ApiContext {
  PlatformStore& store;
  ChangeCoordinator& changes;
  NodeStatus& node;
  PolicyEngine& policies;
  CallClock& clock;
  /** Held while the policy engine compiles: it need not be thread safe. */
  std::mutex policiesMutex;
};

/** @return the segments of a path, without empty ones. */
std::vector<std::string> splitPath(const std::string& path);

/** @return the version in the If-Match header, with or without quotes; nothing where there is none.
 */
Result<std::optional<uint64_t>, ApiError> expectedVersionOf(const AdminRequest& request);

/** @return whether the query parameter is "true" or "1". */
bool isSet(const AdminRequest& request, std::string_view parameter);

/** @return a whole number that the text is in full, or nothing. */
std::optional<uint64_t> parseNumber(std::string_view text);

/** @return the caller's request id, or a fresh one. */
std::string requestIdOf(const AdminRequest& request);

/** @return who asks, for people; from the query parameter "author". */
std::string authorOf(const AdminRequest& request);

/** @return 503 for a question that the node did not answer, 404 for an unknown thing. */
AdminResponse toResponse(const NodeStatusError& error);
/** @return 503 with Retry-After, or 404. */
AdminResponse toResponse(const StoreError& error);
/** @return the answer to a change. @param kind and @param name of the changed object. */
AdminResponse toResponse(const ChangeOutcome& outcome, const ChangeRequest& request);

/** @return a plain error. */
AdminResponse errorAnswer(ApiErrorCode code, const std::string& message);

}  // namespace umberhold
