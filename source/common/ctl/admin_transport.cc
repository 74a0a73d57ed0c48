#include "common/ctl/admin_transport.h"

#include <Poco/URI.h>

#include "common/platform/http_call.h"

namespace umberhold {
namespace {

constexpr const char* kReserved = "?#&=+%/";

std::string escape(const std::string& text, const char* reserved) {
  std::string escaped;
  Poco::URI::encode(text, reserved, escaped);
  return escaped;
}

std::string targetOf(const AdminRequest& request) {
  std::string target = escape(request.path, "?#&=+%");
  char separator = '?';
  for (const QueryParameter& parameter : request.query) {
    target += separator + parameter.name + "=" + escape(parameter.value, kReserved);
    separator = '&';
  }
  return target;
}

void addHeader(HttpCall& call, const char* name, const std::string& value) {
  if (!value.empty()) {
    call.headers.push_back({name, value});
  }
}

}  // namespace

Result<AdminResponse, TransportError> HttpAdminTransport::send(const Endpoint& server,
                                                               const AdminRequest& request) {
  HttpCall call{request.method, targetOf(request), request.body, Duration{}, {}};
  addHeader(call, "Authorization", request.authorization);
  addHeader(call, "X-Request-Id", request.requestId);
  addHeader(call, "If-Match", request.ifMatch);
  CallLimits limits;
  limits.answer = kAnswerTimeout;
  const auto answer = callHttp(server, call, limits);
  if (!isOk(answer)) {
    const bool notSent = errorOf(answer).code == StoreErrorCode::kUnavailable;
    return TransportError{notSent ? TransportErrorCode::kNotSent : TransportErrorCode::kAnswerLost,
                          errorOf(answer).detail};
  }
  AdminResponse response;
  response.status = valueOf(answer).status;
  response.body = valueOf(answer).body;
  if (const auto retryAfter = valueOf(answer).retryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter).count();
    response.retryAfterSeconds = static_cast<uint32_t>(seconds);
  }
  return response;
}

}  // namespace umberhold
