/** @file Sends packets as GUE variant 1: the UDP payload is the inner IP packet. */
#pragma once

#include <cstdint>
#include <string_view>

#include "common/packet/packet_output.h"
#include "common/server/udp_port.h"

namespace umberhold {

/** Sends packets over the data port. Not thread safe. */
class PacketTransport : public PacketOutput {
 public:
  /** @param port borrowed; @param returnGateway where packets to callers are sent; port 0 for none.
   */
  PacketTransport(UdpPort& port, const Endpoint& returnGateway)
      : port_(port), returnGateway_(returnGateway) {}

  void sendToHost(const Endpoint& host, std::string_view packet) override {
    port_.send(host, packet);
  }
  void sendToNode(const Endpoint& relay, std::string_view packet) override {
    port_.send(relay, packet);
  }
  void sendToCaller(const Endpoint& /*caller*/, std::string_view packet) override;

  /** @return the number of packets to callers that were not sent because no gateway is set. */
  uint64_t unsentAnswers() const { return unsentAnswers_; }

 private:
  UdpPort& port_;
  Endpoint returnGateway_;
  uint64_t unsentAnswers_ = 0;
};

}  // namespace umberhold
