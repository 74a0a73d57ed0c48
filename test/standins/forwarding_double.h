/** @file A minimal test double of a node: sends each packet to a host chosen by the caller's
 * address and port. */
#pragma once

#include <atomic>
#include <thread>
#include <vector>

#include "common/base/hash.h"
#include "standins/common/datagram_loop.h"
#include "standins/common/inner_packet.h"

namespace umberhold::standins {

/** Runs any object with run(stop) on its own thread until destruction. */
template <class Runnable>
class BackgroundRun {
 public:
  explicit BackgroundRun(Runnable& runnable)
      : thread_([this, &runnable] { runnable.run(stop_); }) {}
  ~BackgroundRun() {
    stop_ = true;
    thread_.join();
  }
  BackgroundRun(const BackgroundRun&) = delete;
  BackgroundRun& operator=(const BackgroundRun&) = delete;

 private:
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/** A stateless balancer; keeps flows on their hosts as long as the list of hosts is unchanged. */
class ForwardingDouble {
 public:
  ForwardingDouble() {
    socket_ =
        loop_.open(Endpoint{*parseAddress("127.0.0.1"), 0}, [this](const Endpoint&, auto bytes) {
          const auto packet = parsePacket(bytes);
          if (isOk(packet) && !hosts_.empty()) {
            const Endpoint& caller = valueOf(packet).source;
            const uint64_t hash = mixHash(caller.address, caller.port);
            loop_.send(socket_, hosts_[hash % hosts_.size()], bytes);
          }
        });
  }

  void setHosts(std::vector<Endpoint> hosts) {
    const std::lock_guard lock(loop_.mutex());
    hosts_ = std::move(hosts);
  }
  Endpoint endpoint() const { return loop_.localEndpoint(socket_); }
  void run(const std::atomic<bool>& stop) { loop_.run(stop); }

 private:
  DatagramLoop loop_;
  SocketIndex socket_ = 0;
  std::vector<Endpoint> hosts_;
};

}  // namespace umberhold::standins
