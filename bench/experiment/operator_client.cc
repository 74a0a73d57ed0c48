#include "operator_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <chrono>
#include <sstream>
#include <thread>

#include "common/platform/object_json.h"

namespace umberhold::experiment {
namespace {

constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpUnknownOutcome = 504;
/** Exceeds the deadline of the coordinator for a change. */
constexpr int kRequestTimeoutSeconds = 12;
constexpr int kMaxAttempts = 20;
constexpr std::chrono::milliseconds kRetryInterval(200);

Poco::JSON::Object::Ptr parse(const std::string& text) {
  try {
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

uint64_t versionOf(const HttpResponse& response) {
  const auto object = parse(response.body);
  return object.isNull() ? 0 : object->optValue<Poco::UInt64>("version", 0);
}

}  // namespace

OperatorClient::OperatorClient(std::vector<Endpoint> nodes, std::string token,
                               ConflictPolicy conflictPolicy)
    : nodes_(std::move(nodes)), token_(std::move(token)), conflictPolicy_(conflictPolicy) {}

/** @return the header with a new unique id of a change. */
HttpHeader OperatorClient::newRequestId(const std::string& author) {
  return {"X-Request-Id", author + "-" + std::to_string(++requestIds_)};
}

/** Sends a request to one node after the other until one of them returns a definite result. A
 * change that may have been executed is marked as repeated when it is sent again. */
std::optional<HttpResponse> OperatorClient::send(HttpRequest request, bool isChange) {
  request.headers.push_back({"Authorization", "Bearer " + token_});
  request.timeoutSeconds = kRequestTimeoutSeconds;
  const std::string path = request.path;
  bool repeated = false;
  std::optional<HttpResponse> last;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    request.path = path;
    request.path.append(isChange && repeated ? "&repeated=true" : "");
    auto response = httpCall(nodes_[requests_++ % nodes_.size()], request);
    if (response && response->status != kHttpUnavailable &&
        response->status != kHttpUnknownOutcome) {
      return response;
    }
    repeated = repeated || !response || response->status == kHttpUnknownOutcome;
    last = response ? response : last;
    std::this_thread::sleep_for(kRetryInterval);
  }
  return repeated ? std::optional<HttpResponse>(HttpResponse{kHttpUnknownOutcome, ""}) : last;
}

std::optional<OperatorClient::VersionedService> OperatorClient::readVersioned(
    const std::string& service) {
  const auto response = send(HttpRequest{"GET", "/v1/services/" + service, "", {}, 0}, false);
  if (!response || response->status != kHttpOk) {
    return std::nullopt;
  }
  const auto object = parse(response->body);
  const auto specification =
      object.isNull() ? Poco::JSON::Object::Ptr() : object->getObject("specification");
  if (specification.isNull()) {
    return std::nullopt;
  }
  std::ostringstream text;
  specification->stringify(text);
  const auto parsed = parseService(service, text.str());
  if (!isOk(parsed)) {
    return std::nullopt;
  }
  return VersionedService{valueOf(parsed), versionOf(*response)};
}

std::optional<Service> OperatorClient::readService(const std::string& service) {
  const auto found = readVersioned(service);
  return found ? std::optional<Service>(found->service) : std::nullopt;
}

Result<uint64_t, ChangeFailure> OperatorClient::changeService(
    const std::string& service, const std::string& author,
    const std::function<void(Service&)>& change) {
  std::optional<Service> desired;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto current = readVersioned(service);
    if (!current) {
      return ChangeFailure::kUnavailable;
    }
    if (!desired || conflictPolicy_ != ConflictPolicy::kOverwrite) {
      desired = current->service;
      change(*desired);
    }
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/services/";
    request.path.append(service).append("?author=").append(author);
    request.body = formatService(*desired);
    request.headers = {{"If-Match", std::to_string(current->version)}, newRequestId(author)};
    const auto response = send(request, true);
    if (!response || response->status == kHttpUnavailable) {
      return ChangeFailure::kUnavailable;
    }
    if (response->status == kHttpOk) {
      return versionOf(*response);
    }
    if (response->status != kHttpConflict) {
      return response->status == kHttpUnknownOutcome ? ChangeFailure::kUnknown
                                                     : ChangeFailure::kRefused;
    }
  }
  return ChangeFailure::kUnavailable;
}

Result<uint64_t, ChangeFailure> OperatorClient::drain(const std::string& service,
                                                      const std::string& host) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/";
  request.path.append(service).append("/hosts/").append(host).append("/drain?author=drain");
  request.headers = {newRequestId("drain")};
  const auto response = send(request, true);
  if (!response || response->status == kHttpUnavailable) {
    return ChangeFailure::kUnavailable;
  }
  if (response->status == kHttpOk) {
    return versionOf(*response);
  }
  return response->status == kHttpUnknownOutcome ? ChangeFailure::kUnknown
                                                 : ChangeFailure::kRefused;
}

}  // namespace umberhold::experiment
