#include "standins/common/control_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace umberhold::standins {
namespace {

constexpr int kThreadsPerServer = 4;

class HandlerAdapter : public Poco::Net::HTTPRequestHandler {
 public:
  explicit HandlerAdapter(const ControlServer::Handler& handler) : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const Poco::URI uri(request.getURI());
    ControlRequest controlRequest;
    controlRequest.method = request.getMethod();
    controlRequest.path = uri.getPath();
    for (const auto& [name, value] : uri.getQueryParameters()) {
      controlRequest.parameters[name] = value;
    }
    Poco::StreamCopier::copyToString(request.stream(), controlRequest.body);
    const ControlResponse controlResponse = handler_(controlRequest);
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(controlResponse.status));
    response.setContentType("application/json");
    response.sendBuffer(controlResponse.body.data(), controlResponse.body.size());
  }

 private:
  const ControlServer::Handler& handler_;
};

class AdapterFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit AdapterFactory(ControlServer::Handler handler) : handler_(std::move(handler)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new HandlerAdapter(handler_);
  }

 private:
  ControlServer::Handler handler_;
};

Poco::Net::HTTPServerParams::Ptr serverParameters() {
  Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
  parameters->setKeepAlive(false);
  parameters->setMaxThreads(kThreadsPerServer);
  return parameters;
}

}  // namespace

struct ControlServer::Parts {
  Poco::ThreadPool threads{1, kThreadsPerServer + 1};
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

int64_t ControlRequest::number(const std::string& name, int64_t fallback) const {
  const auto found = parameters.find(name);
  Poco::Int64 value = 0;
  if (found == parameters.end() || !Poco::NumberParser::tryParse64(found->second, value)) {
    return fallback;
  }
  return value;
}

std::string ControlRequest::text(const std::string& name) const {
  const auto found = parameters.find(name);
  return found == parameters.end() ? std::string() : found->second;
}

ControlServer::ControlServer(const Endpoint& local, Handler handler)
    : parts_(std::make_unique<Parts>()) {
  parts_->socket =
      Poco::Net::ServerSocket(Poco::Net::SocketAddress(addressToString(local.address), local.port));
  parts_->server = std::make_unique<Poco::Net::HTTPServer>(
      new AdapterFactory(std::move(handler)), parts_->threads, parts_->socket, serverParameters());
  parts_->server->start();
}

ControlServer::~ControlServer() {
  parts_->server->stopAll(true);
}

Endpoint ControlServer::endpoint() const {
  const auto address = parts_->socket.address();
  return Endpoint{parseAddress(address.host().toString()).value_or(0), address.port()};
}

}  // namespace umberhold::standins
