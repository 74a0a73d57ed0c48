/** @file Interface for sending packets. */
#pragma once

#include <string_view>

#include "common/base/endpoint.h"

namespace umberhold {

/** Sends packets. The bytes are a complete inner IP packet and are valid during the call only. */
class PacketOutput {
 public:
  virtual ~PacketOutput() = default;
  /** Sends the packet to a backend host. */
  virtual void sendToHost(const Endpoint& host, std::string_view packet) = 0;
  /** Relays the packet to another node. */
  virtual void sendToNode(const Endpoint& relay, std::string_view packet) = 0;
  /** Sends a packet that this node built (a TCP reset, an ICMP unreachable) to a caller. */
  virtual void sendToCaller(const Endpoint& caller, std::string_view packet) = 0;
};

}  // namespace umberhold
