/** @file Probes with POCO's HTTP client. */
#include "common/server/probe_client.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <istream>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace umberhold {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/** Maximum number of idle connections kept open. */
constexpr size_t kMaxIdleSessions = 256;
/** Maximum length of a response body, bytes. */
constexpr size_t kMaxAnswerBytes = 4096;

/** @return the body of a 200 response, or nothing for other statuses. Throws if the connection
 * fails. */
std::optional<std::string> get(HTTPClientSession& session, const std::string& path) {
  HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
  session.sendRequest(request);
  HTTPResponse response;
  std::istream& stream = session.receiveResponse(response);
  std::string body(kMaxAnswerBytes, '\0');
  stream.read(body.data(), static_cast<std::streamsize>(body.size()));
  body.resize(static_cast<size_t>(stream.gcount()));
  if (body.size() == kMaxAnswerBytes) {
    session.reset();
  }
  if (response.getStatus() != HTTPResponse::HTTP_OK) {
    return std::nullopt;
  }
  return body;
}

void readLoad(const std::string& body, ProbeAnswer& answer) {
  const auto object = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  const double percent = object->getValue<double>("load_percent");
  if (percent >= 0 && percent <= std::numeric_limits<uint32_t>::max()) {
    answer.hasLoad = true;
    answer.loadPercent = static_cast<uint32_t>(percent);
  }
}

}  // namespace

struct ProbeClient::Parts {
  using Session = std::unique_ptr<HTTPClientSession>;

  explicit Parts(Duration limit) : timeout(limit.count()) {}

  Session acquire(const Endpoint& endpoint) {
    {
      const std::lock_guard lock(mutex);
      const auto found = idle.find(endpoint);
      if (found != idle.end()) {
        return std::move(idle.extract(found).mapped());
      }
    }
    auto session =
        std::make_unique<HTTPClientSession>(addressToString(endpoint.address), endpoint.port);
    session->setTimeout(timeout);
    session->setKeepAlive(true);
    return session;
  }

  void release(const Endpoint& endpoint, Session session) {
    const std::lock_guard lock(mutex);
    if (idle.size() < kMaxIdleSessions) {
      idle[endpoint] = std::move(session);
    }
  }

  Poco::Timespan timeout;
  std::mutex mutex;
  std::map<Endpoint, Session> idle;
};

ProbeClient::ProbeClient(Duration timeout) : parts_(std::make_unique<Parts>(timeout)) {}
ProbeClient::~ProbeClient() = default;

ProbeAnswer ProbeClient::probe(const Endpoint& endpoint) {
  ProbeAnswer answer;
  try {
    Parts::Session session = parts_->acquire(endpoint);
    answer.healthy = get(*session, "/health").has_value();
    if (answer.healthy) {
      if (const auto body = get(*session, "/load")) {
        readLoad(*body, answer);
      }
    }
    parts_->release(endpoint, std::move(session));
  } catch (const Poco::Exception&) {
    // Without a response to /health the host stays unhealthy; with an invalid /load it has no load.
  }
  return answer;
}

}  // namespace umberhold
