#include "standins/common/datagram_loop.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <chrono>
#include <map>
#include <unordered_map>
#include <vector>

namespace umberhold::standins {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr int kReceiveBufferBytes = 4 << 20;
/** Maximum number of datagrams read from one socket before the next socket is served. */
constexpr int kMaxBatch = 64;

Endpoint toEndpoint(const Poco::Net::SocketAddress& address) {
  const auto parsed = parseAddress(address.host().toString());
  return Endpoint{parsed.value_or(0), address.port()};
}

Poco::Net::SocketAddress toSocketAddress(const Endpoint& endpoint) {
  return Poco::Net::SocketAddress(addressToString(endpoint.address), endpoint.port);
}

struct OpenSocket {
  Poco::Net::DatagramSocket socket;
  DatagramLoop::Handler handler;
};

}  // namespace

struct DatagramLoop::Parts {
  std::mutex mutex;
  std::vector<std::unique_ptr<OpenSocket>> sockets;
  std::map<Poco::Net::Socket, OpenSocket*> bySocket;
  std::unordered_map<Endpoint, Poco::Net::SocketAddress> addresses;
  Poco::Net::PollSet poll;
  std::function<void()> tick;
  std::chrono::milliseconds tickPeriod = kTickPeriod;
  std::array<char, kMaxDatagramBytes> buffer{};

  const Poco::Net::SocketAddress& addressOf(const Endpoint& endpoint) {
    auto found = addresses.find(endpoint);
    if (found == addresses.end()) {
      found = addresses.emplace(endpoint, toSocketAddress(endpoint)).first;
    }
    return found->second;
  }

  /** @return whether a datagram was available. */
  bool receiveOne(OpenSocket& openSocket) {
    try {
      Poco::Net::SocketAddress from;
      const int size =
          openSocket.socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
      if (size < 0) {
        return false;
      }
      openSocket.handler(toEndpoint(from),
                         std::string_view(buffer.data(), static_cast<size_t>(size)));
      return true;
    } catch (const Poco::TimeoutException&) {
      return false;
    } catch (const Poco::Net::NetException&) {
      return false;  // Pending ICMP error of an earlier send; that datagram is lost.
    }
  }
};

DatagramLoop::DatagramLoop() : parts_(std::make_unique<Parts>()) {}
DatagramLoop::~DatagramLoop() = default;

SocketIndex DatagramLoop::open(const Endpoint& local, Handler handler) {
  auto openSocket = std::make_unique<OpenSocket>();
  openSocket->socket = Poco::Net::DatagramSocket(toSocketAddress(local));
  openSocket->socket.setReceiveBufferSize(kReceiveBufferBytes);
  openSocket->socket.setBlocking(false);
  openSocket->handler = std::move(handler);
  parts_->poll.add(openSocket->socket, Poco::Net::PollSet::POLL_READ);
  parts_->bySocket[openSocket->socket] = openSocket.get();
  parts_->sockets.push_back(std::move(openSocket));
  return parts_->sockets.size() - 1;
}

Endpoint DatagramLoop::localEndpoint(SocketIndex socket) const {
  return toEndpoint(parts_->sockets[socket]->socket.address());
}

void DatagramLoop::send(SocketIndex socket, const Endpoint& to, std::string_view bytes) {
  try {
    parts_->sockets[socket]->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                                           parts_->addressOf(to));
  } catch (const Poco::Exception&) {
    // Treated as datagram loss.
  }
}

void DatagramLoop::onTick(std::function<void()> tick, std::chrono::milliseconds period) {
  parts_->tick = std::move(tick);
  parts_->tickPeriod = period;
}

void DatagramLoop::run(const std::atomic<bool>& stop) {
  auto nextTick = std::chrono::steady_clock::now();
  while (!stop) {
    const auto ready = parts_->poll.poll(Poco::Timespan(parts_->tickPeriod.count() * 1000));
    const std::lock_guard lock(parts_->mutex);
    for (const auto& entry : ready) {
      OpenSocket& openSocket = *parts_->bySocket.at(entry.first);
      for (int received = 0; received < kMaxBatch && parts_->receiveOne(openSocket); ++received) {
      }
    }
    if (parts_->tick && std::chrono::steady_clock::now() >= nextTick) {
      parts_->tick();
      nextTick = std::chrono::steady_clock::now() + parts_->tickPeriod;
    }
  }
}

std::mutex& DatagramLoop::mutex() {
  return parts_->mutex;
}

}  // namespace umberhold::standins
