#include "common/packet/packet_parser.h"

#include <tins/ip.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <algorithm>
#include <exception>

namespace umberhold {
namespace {

constexpr size_t kMinHeaderLength = 20;
/** Maximum length of the IPv4 and TCP headers. The parser is given no more than this, to limit
 * copying. */
constexpr size_t kMaxHeadersLength = 60 + 60;
constexpr size_t kUdpHeaderLength = 8;
constexpr size_t kWordLength = 4;
constexpr size_t kTotalLengthOffset = 2;
constexpr size_t kProtocolOffset = 9;
constexpr uint8_t kVersion4 = 4;

uint8_t byteAt(std::string_view bytes, size_t offset) {
  return static_cast<uint8_t>(bytes[offset]);
}

size_t totalLengthOf(std::string_view bytes) {
  return size_t{byteAt(bytes, kTotalLengthOffset)} << 8U | byteAt(bytes, kTotalLengthOffset + 1);
}

uint32_t hostOrder(Tins::IPv4Address address) {
  return Tins::Endian::be_to_host(static_cast<uint32_t>(address));
}

bool isSupported(uint8_t protocol) {
  return protocol == static_cast<uint8_t>(TransportProtocol::kTcp) ||
         protocol == static_cast<uint8_t>(TransportProtocol::kUdp);
}

PacketPhase phaseOf(const Tins::TCP& tcp) {
  if (tcp.get_flag(Tins::TCP::RST) != 0) {
    return PacketPhase::kReset;
  }
  if (tcp.get_flag(Tins::TCP::FIN) != 0) {
    return PacketPhase::kClosing;
  }
  const bool opens = tcp.get_flag(Tins::TCP::SYN) != 0 && tcp.get_flag(Tins::TCP::ACK) == 0;
  return opens ? PacketPhase::kOpening : PacketPhase::kContinuing;
}

/** @return whether SYN is combined with RST or FIN, which no valid sender does (RFC 9293). */
bool hasInvalidFlags(const Tins::TCP& tcp) {
  const bool ends = tcp.get_flag(Tins::TCP::RST) != 0 || tcp.get_flag(Tins::TCP::FIN) != 0;
  return tcp.get_flag(Tins::TCP::SYN) != 0 && ends;
}

Result<ParsedPacket, DropReason> readTcp(const Tins::IP& ip, ParsedPacket packet) {
  const auto* tcp = ip.find_pdu<Tins::TCP>();
  if (tcp == nullptr || hasInvalidFlags(*tcp)) {
    return DropReason::kMalformed;
  }
  packet.key.protocol = TransportProtocol::kTcp;
  packet.key.caller.port = tcp->sport();
  packet.key.service.port = tcp->dport();
  packet.phase = phaseOf(*tcp);
  packet.transportHeaderLength = tcp->data_offset() * kWordLength;
  return packet;
}

Result<ParsedPacket, DropReason> readUdp(const Tins::IP& ip, ParsedPacket packet) {
  const auto* udp = ip.find_pdu<Tins::UDP>();
  const size_t room = packet.totalLength - packet.networkHeaderLength;
  if (udp == nullptr || udp->length() < kUdpHeaderLength || udp->length() > room) {
    return DropReason::kMalformed;
  }
  packet.key.protocol = TransportProtocol::kUdp;
  packet.key.caller.port = udp->sport();
  packet.key.service.port = udp->dport();
  packet.phase = PacketPhase::kUnmarked;
  packet.transportHeaderLength = kUdpHeaderLength;
  return packet;
}

Result<ParsedPacket, DropReason> readHeaders(const Tins::IP& ip) {
  ParsedPacket packet;
  packet.networkHeaderLength = ip.head_len() * kWordLength;
  packet.totalLength = ip.tot_len();
  packet.timeToLive = ip.ttl();
  if (packet.totalLength < packet.networkHeaderLength) {
    return DropReason::kMalformed;
  }
  if (ip.is_fragmented()) {
    return DropReason::kFragment;
  }
  packet.key.caller.address = hostOrder(ip.src_addr());
  packet.key.service.address = hostOrder(ip.dst_addr());
  return ip.protocol() == static_cast<uint8_t>(TransportProtocol::kTcp) ? readTcp(ip, packet)
                                                                        : readUdp(ip, packet);
}

}  // namespace

Result<ParsedPacket, DropReason> parsePacket(std::string_view bytes) {
  if (bytes.empty()) {
    return DropReason::kTruncated;
  }
  if (byteAt(bytes, 0) >> 4U != kVersion4) {
    return DropReason::kNotIpv4;
  }
  if (bytes.size() < kMinHeaderLength || bytes.size() < totalLengthOf(bytes)) {
    return DropReason::kTruncated;
  }
  if (!isSupported(byteAt(bytes, kProtocolOffset))) {
    return DropReason::kUnsupportedProtocol;
  }
  try {
    const size_t length = std::min(bytes.size(), kMaxHeadersLength);
    const Tins::IP ip(reinterpret_cast<const uint8_t*>(bytes.data()),
                      static_cast<uint32_t>(length));
    return readHeaders(ip);
  } catch (const std::exception&) {
    return DropReason::kMalformed;
  }
}

}  // namespace umberhold
