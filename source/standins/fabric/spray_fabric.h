/** @file The emulated network edge: sprays packets over the balancers of its delayed list. */
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "common/base/random.h"
#include "standins/common/control_server.h"
#include "standins/common/datagram_loop.h"
#include "standins/common/delay_line.h"
#include "standins/common/exchange_message.h"

namespace umberhold::standins {

/** Options of a fabric. */
struct SprayFabricOptions {
  /** Receives packets from callers. */
  Endpoint listen;
  Endpoint control;
  /** Delay until a change of the list of balancers takes effect. */
  uint32_t lagMillis = 1000;
  /** One-way latency from callers to balancers. */
  uint32_t latencyMicros = 0;
  uint64_t seed = 1;
};

/** Sends each packet, not each flow, to a random balancer. */
class SprayFabric {
 public:
  explicit SprayFabric(const SprayFabricOptions& options);
  ~SprayFabric();
  SprayFabric(const SprayFabric&) = delete;
  SprayFabric& operator=(const SprayFabric&) = delete;

  void run(const std::atomic<bool>& stop);
  Endpoint listenEndpoint() const;
  Endpoint controlEndpoint() const;
  /** Replaces the list of balancers; takes effect after the lag. Thread safe. */
  void setNodes(std::vector<Endpoint> nodes);

 private:
  /** A list of balancers that is not in effect yet. */
  struct PendingList {
    UnixMillis due = 0;
    std::vector<Endpoint> nodes;
  };

  void onPacket(std::string_view bytes);
  void applyDueLists();
  ControlResponse onControl(const ControlRequest& request);

  SprayFabricOptions options_;
  RandomSource random_;
  DatagramLoop loop_;
  DelayLine delayLine_;
  SocketIndex socket_ = 0;
  std::vector<Endpoint> nodes_;
  std::deque<PendingList> pendingLists_;
  uint64_t forwardedPackets_ = 0;
  std::unique_ptr<ControlServer> control_;
};

}  // namespace umberhold::standins
