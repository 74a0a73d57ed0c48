/**
 * @file Requests the explanation of a flow from the node that owns it.
 *
 * Members don't publish their administration ports, and the token is sent only to servers that the
 * operator listed. The owner is therefore searched for by node id among the client's servers and
 * queried once; if it refers to a third node, that node is not queried.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/admin/call_clock.h"
#include "common/base/result.h"
#include "common/base/strong_id.h"
#include "common/ctl/admin_client.h"

namespace umberhold {

/** Reason why there is no explanation from the owner. */
enum class OwnerErrorCode : uint8_t {
  /** The first response contains no owner. */
  kOwnerUnknown,
  /** None of the client's servers that responded is the owner. */
  kOwnerNotListed,
  /** The owner is one of the client's servers, but did not respond. */
  kOwnerUnreachable,
  /** The owner responded with an error. */
  kOwnerRefused,
  /** The owner reports that another node owns the flow. */
  kOwnerMoved,
};

/** Failure to get an explanation from the owner. */
struct OwnerError {
  OwnerErrorCode code = OwnerErrorCode::kOwnerUnknown;
  /** Empty if the owner is unknown. */
  std::optional<NodeId> owner;
  std::string detail;
};

/** @return the snake_case label of a code. */
std::string_view toString(OwnerErrorCode code);

/** @return "the owner, node N, gave no explanation: detail (code)". */
std::string toString(const OwnerError& error);

/** A flow that another node owns, from an explanation. */
struct RemoteFlow {
  /** Empty if the response contains no owner. */
  std::optional<NodeId> owner;
};

/** @return nothing if the responding node explains the flow itself. */
std::optional<RemoteFlow> parseRemoteFlow(const std::string& body);

/**
 * Queries the owner. Sends at most one status request to each server, none after the client's
 * deadline, and one request to the owner.
 *
 * @param request the request whose response contained remoteFlow.
 * @return the body of the owner's explanation.
 */
Result<std::string, OwnerError> explainByOwner(AdminClient& client, CallClock& clock,
                                               const AdminRequest& request,
                                               const RemoteFlow& remoteFlow);

}  // namespace umberhold
