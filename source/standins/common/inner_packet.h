/** @file The packets of emulated conversations: IPv4 with TCP, UDP or an ICMP unreachable inside.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/config/service.h"

namespace umberhold::standins {

/** Kind of an emulated packet. */
enum class PacketKind : uint8_t {
  kSyn,
  kSynAck,
  /** TCP segment with payload, or an acknowledgement without one. */
  kSegment,
  kFin,
  kReset,
  kDatagram,
  /** ICMP destination unreachable; source and destination are those of the quoted packet. */
  kUnreachable,
};

/** One inner packet. */
struct InnerPacket {
  PacketKind kind = PacketKind::kSegment;
  Endpoint source;
  Endpoint destination;
  uint32_t sequence = 0;
  uint32_t acknowledgement = 0;
  std::string payload;

  TransportProtocol protocol() const {
    return kind == PacketKind::kDatagram ? TransportProtocol::kUdp : TransportProtocol::kTcp;
  }
};

/** Why bytes can't be parsed as an inner packet of the emulation. */
enum class InnerPacketError : uint8_t { kMalformed, kUnknownProtocol };

/** @return the IPv4 packet with valid checksums. */
std::string buildPacket(const InnerPacket& packet);

/** Parses an inner packet. */
Result<InnerPacket, InnerPacketError> parsePacket(std::string_view bytes);

}  // namespace umberhold::standins
