#include "standins/platform/platform_server.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <functional>
#include <mutex>
#include <sstream>

#include "standins/platform/http_answers.h"
#include "standins/platform/platform_handlers.h"

namespace umberhold::standins {
namespace {

constexpr int kBacklog = 1024;
constexpr int kControlThreads = 4;

using MakeHandler = std::function<Poco::Net::HTTPRequestHandler*(PathSegments)>;

/** Splits the path before unescaping, so that a name may contain an escaped slash. */
PathSegments splitPath(const std::string& target) {
  PathSegments segments;
  std::istringstream path(target.substr(0, target.find('?')));
  for (std::string segment; std::getline(path, segment, '/');) {
    if (!segment.empty()) {
      segments.emplace_back();
      Poco::URI::decode(segment, segments.back());
    }
  }
  return segments;
}

/** Splits the path and passes it to the function that creates the handler. */
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(MakeHandler make) : make_(std::move(make)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    return make_(splitPath(request.getURI()));
  }

 private:
  const MakeHandler make_;
};

/** One listening port with its HTTP server; can be closed and reopened. */
class Listener {
 public:
  Listener(const Poco::Net::SocketAddress& address, int threads, MakeHandler make)
      : address_(address), pool_(2, threads + 1), threads_(threads), make_(std::move(make)) {
    open();
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Poco::Net::SocketAddress& address() const { return address_; }

  void open() {
    if (server_) {
      return;
    }
    socket_ = Poco::Net::ServerSocket();
    socket_.bind(address_, true);
    socket_.listen(kBacklog);
    address_ = socket_.address();
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(threads_);
    parameters->setMaxQueued(kBacklog);
    server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(make_), pool_, socket_,
                                                      parameters);
    server_->start();
  }

  /** Stops accepting connections and closes the open ones. */
  void close() {
    if (!server_) {
      return;
    }
    server_->stopAll(true);
    socket_.close();
    server_.reset();
    pool_.joinAll();
  }

 private:
  Poco::Net::SocketAddress address_;
  Poco::ThreadPool pool_;
  const int threads_;
  const MakeHandler make_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

Endpoint toEndpoint(uint32_t address, const Poco::Net::SocketAddress& socketAddress) {
  return Endpoint{address, socketAddress.port()};
}

}  // namespace

struct PlatformServer::Parts {
  explicit Parts(const PlatformServerOptions& serverOptions)
      : options(serverOptions),
        state(serverOptions.historyLimit, serverOptions.machinesLag, serverOptions.seed) {}

  void applyFaults(const FaultSettings& settings) {
    const std::lock_guard lock(mutex);
    state.faults.set(settings);
    if (settings.outage == Outage::kRefused) {
      state.objects.interruptWatches();
      api->close();
    } else {
      api->open();
    }
  }

  /** Rejects outage `refused`, because a request can't close the port that serves it. */
  bool applyFaultsFromApiPort(const FaultSettings& settings) {
    if (settings.outage == Outage::kRefused) {
      return false;
    }
    state.faults.set(settings);
    return true;
  }

  Poco::Net::HTTPRequestHandler* makeHandler(PathSegments path, bool onApiPort) {
    const std::string firstSegment = path.empty() ? "" : path.front();
    if (firstSegment == "control" || !onApiPort) {
      return new ControlHandler(state, std::move(path),
                                [this, onApiPort](const FaultSettings& settings) {
                                  if (onApiPort) {
                                    return applyFaultsFromApiPort(settings);
                                  }
                                  applyFaults(settings);
                                  return true;
                                });
    }
    return new ObjectApiHandler(state, std::move(path));
  }

  std::unique_ptr<Listener> listen(uint16_t port, int threads, bool onApiPort) {
    const Poco::Net::SocketAddress address(addressToString(options.address), port);
    return std::make_unique<Listener>(address, threads, [this, onApiPort](PathSegments path) {
      return makeHandler(std::move(path), onApiPort);
    });
  }

  const PlatformServerOptions options;
  PlatformState state;
  std::mutex mutex;
  std::unique_ptr<Listener> api;
  std::unique_ptr<Listener> control;
};

PlatformServer::PlatformServer(const PlatformServerOptions& options)
    : parts_(std::make_unique<Parts>(options)) {
  parts_->api = parts_->listen(options.port, options.threads, true);
  parts_->control = parts_->listen(options.controlPort, kControlThreads, false);
}

PlatformServer::~PlatformServer() {
  parts_->control.reset();
  parts_->state.objects.interruptWatches();
  parts_->api.reset();
}

Endpoint PlatformServer::api() const {
  return toEndpoint(parts_->options.address, parts_->api->address());
}

Endpoint PlatformServer::control() const {
  return toEndpoint(parts_->options.address, parts_->control->address());
}

PlatformState& PlatformServer::state() {
  return parts_->state;
}

void PlatformServer::setFaults(const FaultSettings& settings) {
  parts_->applyFaults(settings);
}

}  // namespace umberhold::standins
