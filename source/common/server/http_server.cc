/** @file The HTTP server, based on POCO. */
#include "common/server/http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <glog/logging.h>

#include <utility>

namespace umberhold {
namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kThreads = 4;
/** Maximum number of connections waiting for a thread; further ones are closed immediately. */
constexpr int kQueuedConnections = 64;
constexpr int kRequestTimeoutSeconds = 5;
constexpr int kKeepAliveSeconds = 15;
/** Retry-After of responses while the node is not ready or busy, seconds. */
constexpr uint32_t kRetryAfterSeconds = 1;
constexpr const char* kTextType = "text/plain; charset=utf-8";
/** Content type of Prometheus' text format. */
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

AdminResponse textAnswer(int status, std::string body) {
  return {status, kTextType, std::move(body), std::nullopt};
}

AdminResponse unavailable(std::string body) {
  return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, kTextType, std::move(body), kRetryAfterSeconds};
}

AdminResponse answerHealth(const HttpServerHooks& hooks) {
  return hooks.readiness() ? textAnswer(HTTPResponse::HTTP_OK, "alive\n")
                           : unavailable("the loop does not answer\n");
}

AdminResponse answerReadiness(const HttpServerHooks& hooks) {
  const auto readiness = hooks.readiness();
  if (!readiness) {
    return unavailable("the loop does not answer\n");
  }
  const std::string text = std::string(toString(*readiness)) + "\n";
  return readiness == NodeReadiness::kReady ? textAnswer(HTTPResponse::HTTP_OK, text)
                                            : unavailable(text);
}

AdminResponse answerMetrics(const HttpServerHooks& hooks) {
  auto metrics = hooks.metrics();
  if (!metrics) {
    return unavailable("the loop does not answer\n");
  }
  return {HTTPResponse::HTTP_OK, kMetricsType, std::move(*metrics), std::nullopt};
}

AdminResponse route(const HttpServerHooks& hooks, const AdminRequest& request) {
  if (request.method == "GET" && request.path == "/healthz") {
    return answerHealth(hooks);
  }
  if (request.method == "GET" && request.path == "/readyz") {
    return answerReadiness(hooks);
  }
  if (request.method == "GET" && request.path == "/metrics") {
    return answerMetrics(hooks);
  }
  if (hooks.admin == nullptr) {
    return textAnswer(HTTPResponse::HTTP_NOT_FOUND, "no such path\n");
  }
  return hooks.admin->handle(request);
}

/** Reads the body. @return false if it is longer than kAdminBodyLimit. */
bool readBody(std::istream& stream, std::string& body) {
  constexpr size_t kChunkBytes = 16384;
  std::string chunk(kChunkBytes, '\0');
  while (stream.good()) {
    stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    body.append(chunk.data(), static_cast<size_t>(stream.gcount()));
    if (body.size() > kAdminBodyLimit) {
      return false;
    }
  }
  return true;
}

AdminRequest headOf(const HTTPServerRequest& request) {
  const Poco::URI uri(request.getURI());
  AdminRequest head;
  head.method = request.getMethod();
  head.path = uri.getPath();
  for (const auto& [name, value] : uri.getQueryParameters()) {
    head.query.push_back({name, value});
  }
  head.authorization = request.get("Authorization", "");
  head.requestId = request.get("X-Request-Id", "");
  head.ifMatch = request.get("If-Match", "");
  return head;
}

void sendAnswer(const AdminResponse& answer, HTTPServerResponse& response) {
  response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status));
  response.setContentType(answer.contentType);
  if (answer.retryAfterSeconds) {
    response.set("Retry-After", std::to_string(*answer.retryAfterSeconds));
  }
  response.sendBuffer(answer.body.data(), answer.body.size());
}

class RequestHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit RequestHandler(const HttpServerHooks& hooks) : hooks_(hooks) {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    try {
      sendAnswer(answerTo(request, response), response);
    } catch (const Poco::Exception& exception) {
      // The client has disconnected or its request can't be read, so no response is sent.
      LOG(WARNING) << "event=http_request_failed detail=\"" << exception.displayText() << "\"";
    }
  }

 private:
  AdminResponse answerTo(HTTPServerRequest& request, HTTPServerResponse& response) {
    AdminRequest head;
    try {
      head = headOf(request);
    } catch (const Poco::SyntaxException&) {
      return textAnswer(HTTPResponse::HTTP_BAD_REQUEST, "the target is no URI\n");
    }
    if (!readBody(request.stream(), head.body)) {
      // The rest of the body stays unread, so the connection can't be reused.
      response.setKeepAlive(false);
      return textAnswer(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "the body is too long\n");
    }
    return route(hooks_, head);
  }

  const HttpServerHooks& hooks_;
};

class RequestHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit RequestHandlerFactory(HttpServerHooks hooks) : hooks_(std::move(hooks)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
    return new RequestHandler(hooks_);
  }

 private:
  HttpServerHooks hooks_;
};

Poco::Net::HTTPServerParams::Ptr serverParameters() {
  Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(kThreads);
  parameters->setMaxQueued(kQueuedConnections);
  parameters->setTimeout(Poco::Timespan(kRequestTimeoutSeconds, 0));
  parameters->setKeepAlive(true);
  parameters->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  return parameters;
}

/** Binds explicitly: POCO's binding constructor would let two processes share the port. */
Poco::Net::ServerSocket listenOn(const Endpoint& endpoint) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(addressToString(endpoint.address), endpoint.port), true,
              false);
  socket.listen(kQueuedConnections);
  return socket;
}

}  // namespace

struct HttpServer::Parts {
  Parts(const Endpoint& endpoint, HttpServerHooks hooks)
      : socket(listenOn(endpoint)),
        server(new RequestHandlerFactory(std::move(hooks)), threads, socket, serverParameters()) {}

  Poco::ThreadPool threads{1, kThreads + 1};
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServer server;
};

HttpServer::HttpServer(std::unique_ptr<Parts> parts) : parts_(std::move(parts)) {}

HttpServer::~HttpServer() {
  parts_->server.stopAll(true);
}

Result<std::unique_ptr<HttpServer>, PortError> HttpServer::start(const Endpoint& local,
                                                                 HttpServerHooks hooks) {
  try {
    auto parts = std::make_unique<Parts>(local, std::move(hooks));
    parts->server.start();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(parts)));
  } catch (const Poco::Exception& exception) {
    return PortError{local, exception.displayText()};
  }
}

Endpoint HttpServer::local() const {
  const auto address = parts_->socket.address();
  return Endpoint{parseAddress(address.host().toString()).value_or(0), address.port()};
}

}  // namespace umberhold
