#include "standins/proxy/tcp_front.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

namespace umberhold::standins {
namespace {

constexpr int kThreads = 16;
constexpr size_t kBufferSize = 16384;
constexpr int kPollMicroseconds = 20000;

Poco::Net::SocketAddress toSocketAddress(const Endpoint& endpoint) {
  return Poco::Net::SocketAddress(addressToString(endpoint.address), endpoint.port);
}

/** State shared by all connections of one front. */
struct FrontState {
  Endpoint platform;
  std::function<bool()> isCut;
  std::atomic<bool> stop{false};
};

/**
 * Forwards the bytes that arrive within the poll timeout.
 * @return whether `from` is still open.
 */
bool forwardBytes(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to) {
  if (!from.poll(Poco::Timespan(kPollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
    return true;
  }
  std::array<char, kBufferSize> buffer{};
  const int size = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  for (int sent = 0; sent < size;) {
    sent += to.sendBytes(buffer.data() + sent, size - sent);
  }
  return size > 0;
}

class FrontConnection : public Poco::Net::TCPServerConnection {
 public:
  FrontConnection(const Poco::Net::StreamSocket& socket, FrontState& state)
      : Poco::Net::TCPServerConnection(socket), state_(state) {}

  void run() override {
    try {
      waitWhileCut();
      Poco::Net::StreamSocket platform(toSocketAddress(state_.platform));
      bool open = true;
      while (open && !state_.stop) {
        waitWhileCut();
        open = forwardBytes(socket(), platform) && forwardBytes(platform, socket());
      }
    } catch (const Poco::Exception&) {
      // One end is closed; returning closes the other.
    }
  }

 private:
  void waitWhileCut() const {
    while (state_.isCut() && !state_.stop) {
      std::this_thread::sleep_for(std::chrono::microseconds(kPollMicroseconds));
    }
  }

  FrontState& state_;
};

class FrontFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit FrontFactory(FrontState& state) : state_(state) {}
  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    return new FrontConnection(socket, state_);
  }

 private:
  FrontState& state_;
};

}  // namespace

struct TcpFront::Parts {
  FrontState state;
  Poco::ThreadPool threads{1, kThreads};
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::TCPServer> server;
};

TcpFront::TcpFront(const Endpoint& listen, const Endpoint& platform, std::function<bool()> isCut)
    : parts_(std::make_unique<Parts>()) {
  parts_->state.platform = platform;
  parts_->state.isCut = std::move(isCut);
  parts_->socket = Poco::Net::ServerSocket(toSocketAddress(listen));
  Poco::Net::TCPServerParams::Ptr parameters = new Poco::Net::TCPServerParams;
  parameters->setMaxThreads(kThreads);
  parts_->server = std::make_unique<Poco::Net::TCPServer>(
      new FrontFactory(parts_->state), parts_->threads, parts_->socket, parameters);
  parts_->server->start();
}

TcpFront::~TcpFront() {
  parts_->state.stop = true;
  parts_->server->stop();
  parts_->threads.joinAll();
}

Endpoint TcpFront::endpoint() const {
  const auto address = parts_->socket.address();
  return Endpoint{parseAddress(address.host().toString()).value_or(0), address.port()};
}

}  // namespace umberhold::standins
