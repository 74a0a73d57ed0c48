/** @file Where packets leave a node. */
#pragma once

#include <string_view>

#include "common/base/endpoint.h"

namespace umberhold {

/** Where packets leave; the bytes are a whole inner IP packet and are only valid during the call.
 */
class PacketOutput {
 public:
  virtual ~PacketOutput() = default;
  /** Sends the packet to a back end. */
  virtual void sendToHost(const Endpoint& host, std::string_view packet) = 0;
  /** Relays the packet to another node. */
  virtual void sendToNode(const Endpoint& relay, std::string_view packet) = 0;
  /** Sends an answer of this node (a TCP reset, an ICMP unreachable) to the caller it is addressed
   * to. */
  virtual void sendToCaller(const Endpoint& caller, std::string_view packet) = 0;
};

}  // namespace umberhold
