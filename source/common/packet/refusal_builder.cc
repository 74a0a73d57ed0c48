#include "common/packet/refusal_builder.h"

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <exception>

#include "common/packet/packet_parser.h"

namespace umberhold {
namespace {

constexpr uint8_t kAnswerTimeToLive = 64;
/** Minimum number of bytes after the IP header that an ICMP error quotes; they include the ports.
 */
constexpr size_t kQuotedBytes = 8;
constexpr uint8_t kPortUnreachable = 3;
constexpr uint32_t kFirstMulticastAddress = 0xE0000000U;

Tins::IPv4Address networkOrder(uint32_t address) {
  return Tins::IPv4Address(Tins::Endian::host_to_be(address));
}

Tins::IP answerHeader(const FlowKey& key) {
  Tins::IP ip(networkOrder(key.caller.address), networkOrder(key.service.address));
  ip.ttl(kAnswerTimeToLive);
  ip.flags(Tins::IP::DONT_FRAGMENT);
  return ip;
}

/** Length of the segment in sequence numbers: its data, and one each for SYN and FIN. */
uint32_t segmentLength(const ParsedPacket& parsed, const Tins::TCP& segment) {
  const size_t headers = parsed.networkHeaderLength + parsed.transportHeaderLength;
  return static_cast<uint32_t>(parsed.totalLength - headers) + segment.get_flag(Tins::TCP::SYN) +
         segment.get_flag(Tins::TCP::FIN);
}

Tins::TCP resetOf(const ParsedPacket& parsed, const Tins::TCP& segment) {
  Tins::TCP reset(segment.sport(), segment.dport());
  reset.window(0);
  if (segment.get_flag(Tins::TCP::ACK) != 0) {
    reset.flags(Tins::TCP::RST);
    reset.seq(segment.ack_seq());
    return reset;
  }
  reset.flags(Tins::TCP::RST | Tins::TCP::ACK);
  reset.seq(0);
  reset.ack_seq(segment.seq() + segmentLength(parsed, segment));
  return reset;
}

bool isUnicast(uint32_t address) {
  return address != 0 && address < kFirstMulticastAddress;
}

std::string serialize(Tins::IP packet) {
  const auto bytes = packet.serialize();
  return {bytes.begin(), bytes.end()};
}

std::string buildReset(const ParsedPacket& parsed, std::string_view packet) {
  const auto* start = reinterpret_cast<const uint8_t*>(packet.data()) + parsed.networkHeaderLength;
  const Tins::TCP segment(start, static_cast<uint32_t>(parsed.transportHeaderLength));
  return serialize(answerHeader(parsed.key) / resetOf(parsed, segment));
}

std::string buildUnreachable(const ParsedPacket& parsed, std::string_view packet) {
  Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
  icmp.code(kPortUnreachable);
  const std::string_view quoted = packet.substr(0, parsed.networkHeaderLength + kQuotedBytes);
  return serialize(answerHeader(parsed.key) / icmp / Tins::RawPDU(std::string(quoted)));
}

}  // namespace

Result<std::string, RefusalError> buildRefusal(std::string_view packet) {
  const auto parsed = parsePacket(packet);
  if (!isOk(parsed)) {
    return RefusalError::kUnreadable;
  }
  const ParsedPacket& headers = valueOf(parsed);
  if (headers.phase == PacketPhase::kReset) {
    return RefusalError::kIsReset;
  }
  if (!isUnicast(headers.key.caller.address)) {
    return RefusalError::kNoUnicastSource;
  }
  try {
    const bool tcp = headers.key.protocol == TransportProtocol::kTcp;
    return tcp ? buildReset(headers, packet) : buildUnreachable(headers, packet);
  } catch (const std::exception&) {
    return RefusalError::kUnreadable;
  }
}

Result<std::string, RefusalError> buildFlowReset(const FlowKey& key, uint32_t acknowledged) {
  if (key.protocol != TransportProtocol::kTcp) {
    return RefusalError::kNoReset;
  }
  if (!isUnicast(key.caller.address)) {
    return RefusalError::kNoUnicastSource;
  }
  Tins::TCP reset(key.caller.port, key.service.port);
  reset.window(0);
  reset.flags(Tins::TCP::RST);
  reset.seq(acknowledged);
  return serialize(answerHeader(key) / reset);
}

}  // namespace umberhold
