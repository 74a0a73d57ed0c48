#include "standins/common/inner_packet.h"

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <bit>
#include <memory>

namespace umberhold::standins {
namespace {

constexpr uint8_t kTimeToLive = 64;
constexpr uint16_t kWindow = 65535;
/** Bytes of a transport header that an ICMP error quotes (RFC 792). */
constexpr size_t kQuotedTransportBytes = 8;

Tins::IPv4Address toTins(uint32_t address) {
  return Tins::IPv4Address(addressToString(address));
}

uint32_t fromTins(const Tins::IPv4Address& address) {
  const uint32_t networkOrder = address;
  if constexpr (std::endian::native == std::endian::little) {
    return __builtin_bswap32(networkOrder);
  }
  return networkOrder;
}

uint16_t flagsOf(PacketKind kind) {
  switch (kind) {
    case PacketKind::kSyn:
      return Tins::TCP::SYN;
    case PacketKind::kSynAck:
      return Tins::TCP::SYN | Tins::TCP::ACK;
    case PacketKind::kFin:
      return Tins::TCP::FIN | Tins::TCP::ACK;
    case PacketKind::kReset:
      return Tins::TCP::RST | Tins::TCP::ACK;
    default:
      return Tins::TCP::PSH | Tins::TCP::ACK;
  }
}

PacketKind kindOf(const Tins::TCP& tcp) {
  if (tcp.get_flag(Tins::TCP::RST) != 0) {
    return PacketKind::kReset;
  }
  if (tcp.get_flag(Tins::TCP::SYN) != 0) {
    return tcp.get_flag(Tins::TCP::ACK) != 0 ? PacketKind::kSynAck : PacketKind::kSyn;
  }
  return tcp.get_flag(Tins::TCP::FIN) != 0 ? PacketKind::kFin : PacketKind::kSegment;
}

std::string payloadOf(const Tins::PDU& layer) {
  const auto* rawLayer = layer.inner_pdu() == nullptr ? nullptr : layer.find_pdu<Tins::RawPDU>();
  return rawLayer == nullptr ? std::string()
                             : std::string(rawLayer->payload().begin(), rawLayer->payload().end());
}

std::string serialize(Tins::PDU& packet) {
  const auto bytes = packet.serialize();
  return std::string(bytes.begin(), bytes.end());
}

Tins::IP ipHeader(const InnerPacket& packet) {
  Tins::IP ip(toTins(packet.destination.address), toTins(packet.source.address));
  ip.ttl(kTimeToLive);
  return ip;
}

std::string buildTcp(const InnerPacket& packet) {
  Tins::TCP tcp(packet.destination.port, packet.source.port);
  tcp.flags(flagsOf(packet.kind));
  tcp.seq(packet.sequence);
  tcp.ack_seq(packet.acknowledgement);
  tcp.window(kWindow);
  Tins::IP ip = ipHeader(packet) / tcp;
  if (!packet.payload.empty()) {
    ip /= Tins::RawPDU(packet.payload);
  }
  return serialize(ip);
}

std::string buildUdp(const InnerPacket& packet) {
  Tins::IP ip = ipHeader(packet) / Tins::UDP(packet.destination.port, packet.source.port) /
                Tins::RawPDU(packet.payload);
  return serialize(ip);
}

/** Builds a destination unreachable message from the quoted packet's destination to its source. */
std::string buildUnreachable(const InnerPacket& packet) {
  InnerPacket original = packet;
  original.kind = PacketKind::kDatagram;
  const std::string quoted =
      buildUdp(original).substr(0, Tins::IP().header_size() + kQuotedTransportBytes);
  Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
  constexpr uint8_t kPortUnreachable = 3;
  icmp.code(kPortUnreachable);
  Tins::IP ip = Tins::IP(toTins(packet.source.address), toTins(packet.destination.address)) / icmp /
                Tins::RawPDU(quoted);
  return serialize(ip);
}

uint16_t portAt(const std::string& bytes, size_t offset) {
  const auto high = static_cast<unsigned char>(bytes[offset]);
  const auto low = static_cast<unsigned char>(bytes[offset + 1]);
  return static_cast<uint16_t>((high << 8) | low);
}

uint32_t addressAt(const std::string& bytes, size_t offset) {
  return (uint32_t{portAt(bytes, offset)} << 16) | portAt(bytes, offset + 2);
}

/** Parses the packet quoted by an ICMP error: IPv4 header and 8 bytes of the transport header. */
Result<InnerPacket, InnerPacketError> parseQuoted(const std::string& quoted) {
  constexpr size_t kSourceOffset = 12;
  constexpr size_t kDestinationOffset = 16;
  constexpr size_t kMinHeaderBytes = 20;
  if (quoted.size() < kMinHeaderBytes) {
    return InnerPacketError::kMalformed;
  }
  const size_t headerBytes = size_t{static_cast<unsigned char>(quoted[0]) & 0x0fU} * 4;
  if (headerBytes < kMinHeaderBytes || quoted.size() < headerBytes + 4) {
    return InnerPacketError::kMalformed;
  }
  InnerPacket packet;
  packet.kind = PacketKind::kUnreachable;
  packet.source = Endpoint{addressAt(quoted, kSourceOffset), portAt(quoted, headerBytes)};
  packet.destination =
      Endpoint{addressAt(quoted, kDestinationOffset), portAt(quoted, headerBytes + 2)};
  return packet;
}

Result<InnerPacket, InnerPacketError> parseLayers(const Tins::IP& ip) {
  InnerPacket packet;
  packet.source.address = fromTins(ip.src_addr());
  packet.destination.address = fromTins(ip.dst_addr());
  if (const auto* tcp = ip.find_pdu<Tins::TCP>()) {
    packet.kind = kindOf(*tcp);
    packet.source.port = tcp->sport();
    packet.destination.port = tcp->dport();
    packet.sequence = tcp->seq();
    packet.acknowledgement = tcp->ack_seq();
    packet.payload = payloadOf(*tcp);
    return packet;
  }
  if (const auto* udp = ip.find_pdu<Tins::UDP>()) {
    packet.kind = PacketKind::kDatagram;
    packet.source.port = udp->sport();
    packet.destination.port = udp->dport();
    packet.payload = payloadOf(*udp);
    return packet;
  }
  if (const auto* icmp = ip.find_pdu<Tins::ICMP>()) {
    return parseQuoted(payloadOf(*icmp));
  }
  return InnerPacketError::kUnknownProtocol;
}

}  // namespace

std::string buildPacket(const InnerPacket& packet) {
  if (packet.kind == PacketKind::kDatagram) {
    return buildUdp(packet);
  }
  return packet.kind == PacketKind::kUnreachable ? buildUnreachable(packet) : buildTcp(packet);
}

Result<InnerPacket, InnerPacketError> parsePacket(std::string_view bytes) {
  try {
    const Tins::IP ip(reinterpret_cast<const uint8_t*>(bytes.data()),
                      static_cast<uint32_t>(bytes.size()));
    return parseLayers(ip);
  } catch (const std::exception&) {
    return InnerPacketError::kMalformed;
  }
}

}  // namespace umberhold::standins
