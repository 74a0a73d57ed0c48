#include "common/admin/host_routes.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <functional>

#include "common/platform/object_json.h"

namespace umberhold {
namespace {

/** Maximum number of runs of a change without If-Match, each based on the then current version. */
constexpr uint32_t kMaxRebases = 5;
constexpr int64_t kMaxDrainSeconds = int64_t{30} * 86400;

using HostEdit = std::function<void(HostSpec&)>;

/** A change of one host. */
struct HostChange {
  std::string service;
  std::string host;
  std::string summary;
  HostEdit edit;
};

/** @return the deadline in the body, seconds; 0 if there is none. */
Result<int64_t, AdminResponse> deadlineSecondsOf(const std::string& body) {
  if (body.empty()) {
    return int64_t{0};
  }
  try {
    const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    const auto seconds = object->optValue<Poco::Int64>("deadline_seconds", 0);
    const bool hasNoOtherKey = object->size() == (object->has("deadline_seconds") ? 1U : 0U);
    if (hasNoOtherKey && seconds >= 0 && seconds <= kMaxDrainSeconds) {
      return int64_t{seconds};
    }
  } catch (const Poco::Exception&) {
    // Reported below, like every other invalid body.
  }
  return errorAnswer(ApiErrorCode::kBadRequest,
                     "the body must be {\"deadline_seconds\": 0 to 2592000}");
}

/** @return the service's specification after the edit, or nothing if it has no such host. */
std::optional<std::string> editedSpecification(const StoredObject& object,
                                               const HostChange& change) {
  auto service = parseService(object.name, object.specification);
  if (!isOk(service)) {
    return std::nullopt;
  }
  auto& hosts = valueOf(service).hosts;
  const auto host = std::find_if(hosts.begin(), hosts.end(),
                                 [&](const HostSpec& each) { return each.name == change.host; });
  if (host == hosts.end()) {
    return std::nullopt;
  }
  change.edit(*host);
  return formatService(valueOf(service));
}

ChangeRequest requestOf(const HostChange& change, const AdminRequest& request) {
  ChangeRequest changeRequest;
  changeRequest.collection = Collection::kServices;
  changeRequest.name = change.service;
  changeRequest.requestId = requestIdOf(request);
  changeRequest.author = authorOf(request);
  changeRequest.summary = change.summary;
  return changeRequest;
}

/** Runs the change once, based on the service's current version. */
ChangeOutcome changeOnce(ApiContext& context, ChangeRequest changeRequest,
                         const StoredObject& current, const std::string& specification,
                         bool repeated) {
  changeRequest.expectedVersion = current.version;
  changeRequest.specification = specification;
  return context.changes.submit(changeRequest, repeated);
}

AdminResponse changeHost(ApiContext& context, const HostChange& change,
                         const AdminRequest& request) {
  const auto expected = expectedVersionOf(request);
  if (!isOk(expected)) {
    return toResponse(errorOf(expected));
  }
  const ChangeRequest changeRequest = requestOf(change, request);
  const bool repeated = isSet(request, "repeated");
  ChangeOutcome outcome = ChangeConflict{};
  for (uint32_t rebase = 0; rebase < kMaxRebases; ++rebase) {
    const auto current = context.changes.read(Collection::kServices, change.service);
    if (!isOk(current)) {
      return repeated ? toResponse(context.changes.resolve(changeRequest), changeRequest)
                      : toResponse(errorOf(current));
    }
    const StoredObject& state = valueOf(current);
    if (findEntry(state, changeRequest.requestId)) {
      return toResponse(context.changes.resolve(changeRequest), changeRequest);
    }
    if (valueOf(expected) && *valueOf(expected) != state.version) {
      return toResponse(conflictWith(state), changeRequest);
    }
    const std::optional<std::string> specification = editedSpecification(state, change);
    if (!specification) {
      return errorAnswer(ApiErrorCode::kNotFound,
                         "service '" + change.service + "' has no host '" + change.host + "'");
    }
    outcome = changeOnce(context, changeRequest, state, *specification, repeated);
    if (!std::holds_alternative<ChangeConflict>(outcome) || valueOf(expected)) {
      break;
    }
  }
  return toResponse(outcome, changeRequest);
}

}  // namespace

AdminResponse drainHost(ApiContext& context, const std::string& service, const std::string& host,
                        const AdminRequest& request) {
  const auto seconds = deadlineSecondsOf(request.body);
  if (!isOk(seconds)) {
    return errorOf(seconds);
  }
  const int64_t deadlineSeconds = valueOf(seconds);
  const UnixSeconds deadline = deadlineSeconds == 0 ? 0 : context.clock.unixNow() + deadlineSeconds;
  const HostChange change{service, host,
                          "drain " + host + " within " + std::to_string(deadlineSeconds) + " s",
                          [deadline](HostSpec& spec) {
                            spec.state = HostState::kDraining;
                            spec.drainDeadline = deadline;
                          }};
  return changeHost(context, change, request);
}

AdminResponse undrainHost(ApiContext& context, const std::string& service, const std::string& host,
                          const AdminRequest& request) {
  const HostChange change{service, host, "undrain " + host, [](HostSpec& spec) {
                            spec.state = HostState::kActive;
                            spec.drainDeadline = 0;
                          }};
  return changeHost(context, change, request);
}

}  // namespace umberhold
