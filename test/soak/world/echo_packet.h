/**
 * @file Packets of the users' platform as callers and hosts write and read them.
 *
 * Written from the published form, apart from the product's own reader of it
 * (platform/packet/echo_format.h), so that the one can be checked against the other.
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

/** Most data of a packet, bytes. */
constexpr size_t kMostData = 1200;

/** @return the packet's bytes, with the sum as it stands. */
std::string encode(const EchoPacket& packet);
/** @return the bytes with the sum that only callers and hosts can make. */
std::string encodeSealed(EchoPacket packet);
/** @return the packet, or nothing where the bytes are none. */
std::optional<EchoPacket> decode(std::string_view bytes);
/** @return whether the packet is as a caller or host wrote it, but for `echo`. */
bool isSealed(const EchoPacket& packet);

}  // namespace umberhold::soak
