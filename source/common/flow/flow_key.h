/** @file The identity of a flow and the phase of one of its packets. */
#pragma once

#include <cstdint>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"
#include "common/config/service.h"

namespace umberhold {

/** A 5-tuple: caller, virtual address and protocol. */
struct FlowKey {
  Endpoint caller;
  Endpoint service;
  TransportProtocol protocol = TransportProtocol::kTcp;

  auto operator<=>(const FlowKey&) const = default;
};

/** @return a 64-bit hash, identical on every node, that identifies the flow in tables and messages.
 */
FlowHash hashOf(const FlowKey& key);

/** Phase of a flow, as indicated by a single packet. */
enum class PacketPhase : uint8_t {
  /** TCP SYN without ACK: the first packet of a flow or a retransmission of it. */
  kOpening,
  /** Any other TCP packet. */
  kContinuing,
  /** TCP FIN. */
  kClosing,
  /** TCP RST. */
  kReset,
  /** UDP: packets carry no phase. */
  kUnmarked,
};

}  // namespace umberhold
