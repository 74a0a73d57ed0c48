/** @file Event loop of one thread for UDP sockets and a timer; used by all stand-ins. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>

#include "common/base/endpoint.h"

namespace umberhold::standins {

/** Index of a socket of a DatagramLoop. */
using SocketIndex = size_t;

/**
 * Receives on many sockets. Handlers run on the thread that calls run(), with mutex() held; other
 * threads must hold mutex() while they access the handlers' state.
 */
class DatagramLoop {
 public:
  using Handler = std::function<void(const Endpoint& from, std::string_view bytes)>;

  DatagramLoop();
  ~DatagramLoop();
  DatagramLoop(const DatagramLoop&) = delete;
  DatagramLoop& operator=(const DatagramLoop&) = delete;

  /** Binds a socket; port 0 selects a free port. Throws Poco::Exception if the port is in use. */
  SocketIndex open(const Endpoint& local, Handler handler);
  /** @return the address that the socket is bound to. */
  Endpoint localEndpoint(SocketIndex socket) const;
  /** Sends a datagram; send errors are ignored and the datagram is lost. */
  void send(SocketIndex socket, const Endpoint& to, std::string_view bytes);
  static constexpr std::chrono::milliseconds kTickPeriod{2};

  /** Sets a periodic callback; the period also limits the poll timeout. */
  void onTick(std::function<void()> tick, std::chrono::milliseconds period = kTickPeriod);
  /** Runs the event loop until stop is set. */
  void run(const std::atomic<bool>& stop);
  /** Guards the state that the handlers use. */
  std::mutex& mutex();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold::standins
