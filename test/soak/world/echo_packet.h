/**
 * @file Codec for the packets of the users' platform, as used by callers and hosts.
 *
 * Implemented from the published format, independently of the system's own parser
 * (platform/packet/echo_format.h), so that each can be checked against the other.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace umberhold::soak {

constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 2;
constexpr uint8_t kFin = 64;
constexpr uint8_t kRst = 4;

/** One packet. Numbers in host byte order. */
struct EchoPacket {
  /** Keyed checksum over everything but `echo`; 0: not sealed. */
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint32_t echo = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint16_t sourcePort = 0;
  uint16_t targetPort = 0;
  uint32_t source = 0;
  uint32_t target = 0;
  std::string data;

  bool has(uint8_t flag) const { return (flags & flag) != 0; }
};

/** Maximum payload of a packet in bytes. */
constexpr size_t kMaxDataBytes = 1200;

/** @return the encoded packet, with `sum` as given. */
std::string encode(const EchoPacket& packet);
/** @return the encoded packet with its checksum, which only callers and hosts can compute because
 * nodes do not have the key. */
std::string encodeSealed(EchoPacket packet);
/** @return the decoded packet, or nothing if the bytes are malformed. */
std::optional<EchoPacket> decode(std::string_view bytes);
/** @return whether the checksum is valid. */
bool isSealed(const EchoPacket& packet);

}  // namespace umberhold::soak
