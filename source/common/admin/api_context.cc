#include "common/admin/api_context.h"

#include <Poco/JSON/Object.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace umberhold {
namespace {

constexpr uint32_t kRetryAfterSeconds = 2;

uint32_t secondsOf(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
  return static_cast<uint32_t>(std::max<int64_t>(seconds, 1));
}

std::string_view toLabel(ChangeRefusal reason) {
  switch (reason) {
    case ChangeRefusal::kStoreRefused:
      return "store_refused";
    case ChangeRefusal::kRequestIdReused:
      return "request_id_reused";
    case ChangeRefusal::kBadRequestId:
      return "bad_request_id";
  }
  return "unknown";
}

/** Converts each outcome of a change to its response. */
class OutcomeResponse {
 public:
  explicit OutcomeResponse(const ChangeRequest& request) : request_(request) {}

  AdminResponse operator()(const ChangeAccepted& accepted) const {
    Poco::JSON::Object object;
    object.set("outcome", "accepted");
    object.set("name", request_.name);
    object.set("version", static_cast<Poco::UInt64>(accepted.version));
    object.set("request_id", request_.requestId);
    std::ostringstream body;
    object.stringify(body);
    return jsonAnswer(body.str());
  }

  AdminResponse operator()(const ChangeConflict& conflict) const {
    ApiError error = base(ApiErrorCode::kConflict, "the object is not at the expected version");
    ApiConflict& details = error.conflict.emplace();
    details.currentVersion = conflict.currentVersion;
    if (conflict.lastChange) {
      details.author = conflict.lastChange->author;
      details.summary = conflict.lastChange->summary;
      details.requestId = conflict.lastChange->requestId;
    }
    return toResponse(error);
  }

  AdminResponse operator()(const ChangeBlocked& blocked) const {
    const bool isHost = blocked.key.kind == ClaimKind::kHost;
    ApiError error = base(ApiErrorCode::kInvalid, "the change was not run: 1 error(s)");
    const ValidationCode code =
        isHost ? ValidationCode::kHostEndpointInUse : ValidationCode::kAddressInUse;
    error.details.push_back({std::string(toString(code)), "service/" + request_.name,
                             isHost ? "hosts" : "address",
                             toString(blocked.key.endpoint) + " is of service '" + blocked.holder +
                                 "', which was faster"});
    return toResponse(error);
  }

  AdminResponse operator()(const ChangeRefused& refused) const {
    const bool byStore = refused.reason == ChangeRefusal::kStoreRefused;
    ApiError error = base(byStore ? ApiErrorCode::kStoreRefused : ApiErrorCode::kRequestIdRefused,
                          "the change was not run");
    error.details.push_back(
        {std::string(toLabel(refused.reason)), request_.name, "", refused.detail});
    return toResponse(error);
  }

  AdminResponse operator()(const ChangeUnavailable& unavailable) const {
    ApiError error =
        base(ApiErrorCode::kUnavailable,
             "the store can't be reached; the change was not run: " + unavailable.detail);
    error.retryAfterSeconds = secondsOf(unavailable.retryAfter);
    return toResponse(error);
  }

  AdminResponse operator()(const ChangeUnknown& unknown) const {
    ApiError error = base(ApiErrorCode::kOutcomeUnknown,
                          "the change may be in or not; ask for its request id: " + unknown.detail);
    error.retryAfterSeconds = secondsOf(unknown.retryAfter);
    return toResponse(error);
  }

 private:
  ApiError base(ApiErrorCode code, std::string message) const {
    ApiError error;
    error.code = code;
    error.message = std::move(message);
    error.requestId = request_.requestId;
    return error;
  }

  const ChangeRequest& request_;
};

}  // namespace

std::optional<ApiKind> parseApiKind(const std::string& text) {
  for (const ApiKind& kind : {kServiceKind, kPolicyKind}) {
    if (text == kind.plural || text == kind.singular) {
      return kind;
    }
  }
  return std::nullopt;
}

std::vector<std::string> splitPath(const std::string& path) {
  std::vector<std::string> segments;
  std::istringstream stream(path);
  for (std::string segment; std::getline(stream, segment, '/');) {
    if (!segment.empty()) {
      segments.push_back(segment);
    }
  }
  return segments;
}

std::optional<uint64_t> parseNumber(std::string_view text) {
  uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

Result<std::optional<uint64_t>, ApiError> expectedVersionOf(const AdminRequest& request) {
  std::string_view text = request.ifMatch;
  if (text.empty()) {
    return std::optional<uint64_t>{};
  }
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  const std::optional<uint64_t> version = parseNumber(text);
  if (!version) {
    ApiError error;
    error.message = "If-Match is no version";
    return error;
  }
  return version;
}

bool isSet(const AdminRequest& request, std::string_view parameter) {
  const auto value = request.findQuery(parameter);
  return value && (*value == "true" || *value == "1");
}

std::string requestIdOf(const AdminRequest& request) {
  if (!request.requestId.empty()) {
    return request.requestId;
  }
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

std::string authorOf(const AdminRequest& request) {
  constexpr size_t kMaxAuthorLength = 64;
  const auto author = request.findQuery("author");
  return author ? std::string(author->substr(0, kMaxAuthorLength)) : "unnamed";
}

AdminResponse toResponse(const NodeStatusError& error) {
  ApiError answer;
  answer.message = error.detail;
  switch (error.code) {
    case NodeStatusErrorCode::kBusy:
      answer.code = ApiErrorCode::kUnavailable;
      answer.retryAfterSeconds = kRetryAfterSeconds;
      break;
    case NodeStatusErrorCode::kUnknown:
      answer.code = ApiErrorCode::kNotFound;
      break;
    case NodeStatusErrorCode::kUnsupported:
      answer.code = ApiErrorCode::kBadRequest;
      break;
  }
  return toResponse(answer);
}

AdminResponse toResponse(const StoreError& error) {
  ApiError answer;
  answer.message = error.detail;
  if (error.code == StoreErrorCode::kNotFound) {
    answer.code = ApiErrorCode::kNotFound;
  } else {
    answer.code = ApiErrorCode::kUnavailable;
    answer.message = "the store can't be read: " + error.detail;
    answer.retryAfterSeconds = error.retryAfter ? secondsOf(*error.retryAfter) : kRetryAfterSeconds;
  }
  return toResponse(answer);
}

AdminResponse toResponse(const ChangeOutcome& outcome, const ChangeRequest& request) {
  return std::visit(OutcomeResponse(request), outcome);
}

AdminResponse errorAnswer(ApiErrorCode code, const std::string& message) {
  ApiError error;
  error.code = code;
  error.message = message;
  return toResponse(error);
}

}  // namespace umberhold
