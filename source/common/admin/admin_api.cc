#include "common/admin/admin_api.h"

#include <utility>

#include "common/admin/host_routes.h"
#include "common/admin/object_routes.h"
#include "common/admin/request_routes.h"
#include "common/admin/status_routes.h"
#include "common/base/constant_time.h"

namespace umberhold {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr uint32_t kBusyRetrySeconds = 1;

/** Adds one to the number of running changes for its lifetime. */
class ChangeSlot {
 public:
  explicit ChangeSlot(std::atomic<uint32_t>& count) : count_(count), previousCount_(count++) {}
  ~ChangeSlot() { --count_; }
  ChangeSlot(const ChangeSlot&) = delete;
  ChangeSlot& operator=(const ChangeSlot&) = delete;

  bool isWithinLimit() const { return previousCount_ < kMaxConcurrentChanges; }

 private:
  std::atomic<uint32_t>& count_;
  const uint32_t previousCount_;
};

AdminResponse busyAnswer(const AdminRequest& request) {
  ApiError error;
  const bool repeated = isSet(request, "repeated");
  error.code = repeated ? ApiErrorCode::kOutcomeUnknown : ApiErrorCode::kUnavailable;
  error.message = "too many changes are under way; this call was not run";
  error.requestId = request.requestId;
  error.retryAfterSeconds = kBusyRetrySeconds;
  return toResponse(error);
}

AdminResponse noSuchRoute() {
  return errorAnswer(ApiErrorCode::kNotFound, "no such path");
}

AdminResponse wrongMethod() {
  return errorAnswer(ApiErrorCode::kMethodNotAllowed, "the path does not take this method");
}

bool isRead(const AdminRequest& request) {
  return request.method == "GET";
}

}  // namespace

AdminApi::AdminApi(std::string token, PlatformStore& store, ChangeCoordinator& changes,
                   NodeStatus& node, PolicyEngine& policies, CallClock& clock)
    : token_(std::move(token)), context_{store, changes, node, policies, clock, {}} {}

AdminResponse AdminApi::handle(const AdminRequest& request) {
  if (!isAuthorized(request)) {
    return errorAnswer(ApiErrorCode::kUnauthorized, "a valid bearer token is needed");
  }
  const Segments segments = splitPath(request.path);
  if (segments.size() < 2 || segments[0] != "v1") {
    return noSuchRoute();
  }
  return route(request, segments);
}

bool AdminApi::isAuthorized(const AdminRequest& request) const {
  const std::string_view header = request.authorization;
  if (header.substr(0, kBearer.size()) != kBearer) {
    return false;
  }
  return equalInConstantTime(token_, header.substr(kBearer.size()));
}

AdminResponse AdminApi::route(const AdminRequest& request, const Segments& segments) {
  if (isRead(request)) {
    return routeRead(request, segments);
  }
  const ChangeSlot slot(changesRunning_);
  if (!slot.isWithinLimit()) {
    return busyAnswer(request);
  }
  return routeChange(request, segments);
}

AdminResponse AdminApi::routeRead(const AdminRequest& request, const Segments& segments) {
  const std::string& subject = segments[1];
  if (const auto kind = parseApiKind(subject); kind && subject == kind->plural) {
    if (segments.size() == 2) {
      return listObjects(context_, *kind);
    }
    return segments.size() == 3 ? getObject(context_, *kind, segments[2]) : noSuchRoute();
  }
  if (subject == "requests" && segments.size() == 3) {
    return getRequest(context_, segments[2], request);
  }
  if (segments.size() != 2) {
    return noSuchRoute();
  }
  if (subject == "status") {
    return getStatus(context_);
  }
  if (subject == "members") {
    return getMembers(context_);
  }
  if (subject == "coverage") {
    return getCoverage(context_, request);
  }
  if (subject == "explain") {
    return getExplanation(context_, request);
  }
  if (subject == "history") {
    return getHistory(context_, request);
  }
  return noSuchRoute();
}

AdminResponse AdminApi::routeChange(const AdminRequest& request, const Segments& segments) {
  // Number of segments of v1/services/SERVICE/hosts/HOST/ACTION.
  constexpr size_t kHostPathLength = 6;
  const auto kind = parseApiKind(segments[1]);
  if (!kind || segments[1] != kind->plural) {
    return noSuchRoute();
  }
  if (segments.size() == 3 && request.method == "PUT") {
    return putObject(context_, *kind, segments[2], request);
  }
  if (segments.size() == 3 && request.method == "DELETE") {
    return deleteObject(context_, *kind, segments[2], request);
  }
  const bool isHostPath = segments.size() == kHostPathLength && segments[3] == "hosts" &&
                          kind->kind == ObjectKind::kService;
  if (!isHostPath) {
    return segments.size() == 3 ? wrongMethod() : noSuchRoute();
  }
  if (request.method != "POST") {
    return wrongMethod();
  }
  const std::string& action = segments[kHostPathLength - 1];
  if (action == "drain") {
    return drainHost(context_, segments[2], segments[4], request);
  }
  if (action == "undrain") {
    return undrainHost(context_, segments[2], segments[4], request);
  }
  return noSuchRoute();
}

}  // namespace umberhold
