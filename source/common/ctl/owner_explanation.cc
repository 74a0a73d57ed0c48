#include "common/ctl/owner_explanation.h"

#include <utility>

#include "common/ctl/answers.h"

namespace umberhold {
namespace {

constexpr int kHttpOk = 200;

/** Result of the search for the owner among the servers. */
struct OwnerSearch {
  std::optional<size_t> server;
  /** Number of servers that returned no node id. */
  size_t unanswered = 0;
};

std::optional<NodeId> nodeIdAt(AdminClient& client, size_t server) {
  AdminRequest request;
  request.method = "GET";
  request.path = "/v1/status";
  const auto answer = client.readAt(server, std::move(request));
  if (!isOk(answer) || valueOf(answer).status != kHttpOk) {
    return std::nullopt;
  }
  return parseNodeId(valueOf(answer).body);
}

OwnerSearch findOwner(AdminClient& client, CallClock& clock, NodeId owner) {
  const TimePoint deadline = clock.now() + client.deadline();
  OwnerSearch search;
  for (size_t server = 0; server < client.serverCount(); ++server) {
    if (clock.now() >= deadline) {
      search.unanswered += client.serverCount() - server;
      break;
    }
    const std::optional<NodeId> node = nodeIdAt(client, server);
    if (node == owner) {
      search.server = server;
      break;
    }
    search.unanswered += node ? 0 : 1;
  }
  return search;
}

std::string notListedText(const AdminClient& client, size_t unanswered) {
  return "none of " + std::to_string(client.serverCount()) + " servers is this node, " +
         std::to_string(unanswered) + " gave no answer; add its --server";
}

}  // namespace

std::string_view toString(OwnerErrorCode code) {
  switch (code) {
    case OwnerErrorCode::kOwnerUnknown:
      return "owner_unknown";
    case OwnerErrorCode::kOwnerNotListed:
      return "owner_not_listed";
    case OwnerErrorCode::kOwnerUnreachable:
      return "owner_unreachable";
    case OwnerErrorCode::kOwnerRefused:
      return "owner_refused";
    case OwnerErrorCode::kOwnerMoved:
      return "owner_moved";
  }
  return "unknown";
}

std::string toString(const OwnerError& error) {
  const std::string node = error.owner ? ", node " + std::to_string(error.owner->value) + "," : "";
  return "the owner" + node + " gave no explanation: " + error.detail + " (" +
         std::string(toString(error.code)) + ")";
}

std::optional<RemoteFlow> parseRemoteFlow(const std::string& body) {
  const auto flow = parseFlowOwner(body);
  if (!flow || flow->knowledge != kOwnedElsewhereLabel) {
    return std::nullopt;
  }
  return RemoteFlow{flow->owner};
}

Result<std::string, OwnerError> explainByOwner(AdminClient& client, CallClock& clock,
                                               const AdminRequest& request,
                                               const RemoteFlow& remoteFlow) {
  if (!remoteFlow.owner) {
    return OwnerError{OwnerErrorCode::kOwnerUnknown, std::nullopt, "no node is known to own it"};
  }
  const OwnerSearch search = findOwner(client, clock, *remoteFlow.owner);
  if (!search.server) {
    return OwnerError{OwnerErrorCode::kOwnerNotListed, remoteFlow.owner,
                      notListedText(client, search.unanswered)};
  }
  const auto answer = client.readAt(*search.server, request);
  if (!isOk(answer)) {
    return OwnerError{OwnerErrorCode::kOwnerUnreachable, remoteFlow.owner, errorOf(answer).detail};
  }
  const AdminResponse& response = valueOf(answer);
  if (response.status != kHttpOk) {
    return OwnerError{OwnerErrorCode::kOwnerRefused, remoteFlow.owner, response.body};
  }
  if (parseRemoteFlow(response.body)) {
    return OwnerError{OwnerErrorCode::kOwnerMoved, remoteFlow.owner, "it names another owner"};
  }
  return response.body;
}

}  // namespace umberhold
