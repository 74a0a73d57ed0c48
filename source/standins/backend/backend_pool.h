/** @file Many virtual hosts in one process: their sockets, probe servers and control requests. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standins/backend/virtual_host.h"
#include "standins/common/control_server.h"
#include "standins/common/datagram_loop.h"
#include "standins/common/delay_line.h"

namespace umberhold::standins {

/** Addresses, delay and seed of a pool. */
struct BackendPoolOptions {
  /** Address of all sockets; the kernel chooses the ports. */
  uint32_t address = 0;
  /** Address of the control server; port 0 selects a free port. */
  Endpoint control;
  /** Receives the answers to callers (direct server return). */
  Endpoint gateway;
  /** One-way latency from hosts to callers. */
  uint32_t latencyMicros = 0;
  uint64_t seed = 1;
};

/** Hosts of one or more services. */
class BackendPool {
 public:
  BackendPool(const BackendPoolOptions& options, const std::vector<HostProfile>& hosts);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /** Runs the event loop until stop is set. */
  void run(const std::atomic<bool>& stop);
  Endpoint controlEndpoint() const;
  /** @return the data endpoint of the host at this index of the constructor's list. */
  Endpoint hostEndpoint(size_t index) const;

 private:
  struct PoolHost {
    std::unique_ptr<VirtualHost> host;
    SocketIndex socket = 0;
    std::unique_ptr<ControlServer> probe;
    /** A stopped host answers neither packets nor probes. */
    bool stopped = false;
  };

  void addHost(const HostProfile& profile, uint64_t seed);
  void sendDuePackets(PoolHost& poolHost);
  ControlResponse onProbe(PoolHost& poolHost, const ControlRequest& request);
  ControlResponse onControl(const ControlRequest& request);
  ControlResponse applyAction(PoolHost& poolHost, const ControlRequest& request);
  std::string hostsJson();
  std::string recordJson();

  BackendPoolOptions options_;
  DatagramLoop loop_;
  DelayLine delayLine_;
  std::vector<std::unique_ptr<PoolHost>> hosts_;
  std::unique_ptr<ControlServer> control_;
};

}  // namespace umberhold::standins
