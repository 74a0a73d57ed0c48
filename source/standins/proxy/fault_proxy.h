/**
 * @file A UDP proxy in front of nodes that injects faults.
 *
 * Each node has its own address and advertises front ports instead of its real ports; the proxy
 * listens on these and forwards datagrams. The source address identifies the sender. A receiver may
 * reply to the sender's front port or to the source address of the datagram: both paths lead
 * through the proxy.
 */
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "standins/common/control_server.h"
#include "standins/common/datagram_loop.h"
#include "standins/common/delay_line.h"
#include "standins/common/exchange_message.h"
#include "standins/proxy/fault_rules.h"
#include "standins/proxy/tcp_front.h"

namespace umberhold::standins {

/** A port of a node, and the port in front of it on the same address. */
struct ProxiedPort {
  uint16_t front = 0;
  uint16_t node = 0;
};

/** A node behind the proxy. */
struct ProxiedNode {
  ProxyParty party;
  /** No other node has this address. */
  uint32_t address = 0;
  std::vector<ProxiedPort> ports;
};

/** See the file comment. */
class FaultProxy {
 public:
  FaultProxy(const Endpoint& control, std::vector<ProxiedNode> nodes, uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void run(const std::atomic<bool>& stop);
  Endpoint controlEndpoint() const;
  /** Thread safe. */
  void setRule(const FaultRule& rule);
  /** Thread safe. */
  void clearRules();
  /**
   * Opens a TCP port on the node's address that forwards to the platform, whose party is named
   * "platform". Call it before run().
   */
  void addPlatformFront(size_t node, uint16_t port, const Endpoint& platform);
  /** @return the number of dropped datagrams. Thread safe. */
  uint64_t droppedCount();

 private:
  /** Sender, and endpoint of the destination node. */
  using PairKey = std::pair<Endpoint, Endpoint>;

  void onFront(size_t node, uint16_t port, SocketIndex front, const Endpoint& from,
               std::string_view bytes);
  /**
   * @return the socket that forwards the sender's datagrams to the port of the node, opened on
   * first use. Replies to it return to the sender through the front socket.
   */
  SocketIndex pairSocket(size_t node, uint16_t port, SocketIndex front, const Endpoint& from);
  void forward(const ProxyParty& from, const ProxyParty& to, SocketIndex socket,
               const Endpoint& endpoint, std::string_view bytes);
  /** @return the node with the source address; an empty party if there is none. */
  ProxyParty partyOf(const Endpoint& source) const;
  ControlResponse onControl(const ControlRequest& request);

  std::vector<ProxiedNode> nodes_;
  RandomSource random_;
  DatagramLoop loop_;
  DelayLine delayLine_;
  FaultRules rules_;
  std::map<PairKey, SocketIndex> pairSockets_;
  uint64_t dropped_ = 0;
  uint64_t forwarded_ = 0;
  std::vector<std::unique_ptr<TcpFront>> fronts_;
  std::unique_ptr<ControlServer> control_;
};

}  // namespace umberhold::standins
