/** @file Reads the headers of an inner IPv4 packet. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/base/result.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** What the packet path needs to know of a packet; lengths in bytes. */
struct ParsedPacket {
  FlowKey key;
  PacketPhase phase = PacketPhase::kUnmarked;
  uint8_t timeToLive = 0;
  size_t networkHeaderLength = 0;
  size_t transportHeaderLength = 0;
  /** Length that the IP header states; what follows in the datagram is padding. */
  size_t totalLength = 0;
  /** Flow token that the caller reflects, in formats that have one; 0: none. */
  uint32_t token = 0;
  /** Sequence numbers of the transport, in formats that tell them. */
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  /** Bytes of data whose sequence number the packet holds; 0 in formats without one. */
  uint32_t dataBytes = 0;
};

/**
 * Parses a packet from caller to service; never throws, whatever the bytes are. Checksums aren't
 * verified: the datagram around the packet has its own, and the back end verifies them.
 * @return the headers, or kTruncated, kMalformed, kNotIpv4, kFragment or kUnsupportedProtocol.
 */
Result<ParsedPacket, DropReason> parsePacket(std::string_view bytes);

}  // namespace umberhold
