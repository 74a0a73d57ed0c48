/** @file Parser for the headers of an inner IPv4 packet. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/base/result.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** Header fields that the packet path uses; lengths in bytes. */
struct ParsedPacket {
  FlowKey key;
  PacketPhase phase = PacketPhase::kUnmarked;
  uint8_t timeToLive = 0;
  size_t networkHeaderLength = 0;
  size_t transportHeaderLength = 0;
  /** Total length from the IP header; further bytes of the datagram are padding. */
  size_t totalLength = 0;
  /** Flow token echoed by the caller, in formats that have one; 0: none. */
  uint32_t token = 0;
  /** Sequence and acknowledgement numbers of the transport, in formats that parse them. */
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  /** Number of data bytes that start at `sequence`; 0 in formats that do not parse it. */
  uint32_t dataBytes = 0;
};

/**
 * Parses a packet from caller to service; never throws, whatever the bytes contain. Checksums are
 * not verified: the outer datagram has its own checksum, and the backend host verifies the inner
 * ones.
 * @return the headers, or kTruncated, kMalformed, kNotIpv4, kFragment or kUnsupportedProtocol.
 */
Result<ParsedPacket, DropReason> parsePacket(std::string_view bytes);

}  // namespace umberhold
