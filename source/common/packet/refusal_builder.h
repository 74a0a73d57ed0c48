/** @file Answers to callers whose packets are refused or whose flows are reset. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** Reason for which no answer can be sent. */
enum class RefusalError : uint8_t {
  /** parsePacket rejects the packet. */
  kUnreadable,
  /** A reset is never answered by a reset (RFC 9293, 3.10.7.1). */
  kIsReset,
  /** The packet's source is not a unicast address (RFC 1122, 3.2.2). */
  kNoUnicastSource,
  /** The flow's protocol has no resets. */
  kNoReset,
};

/**
 * Builds the answer to a refused packet: for TCP a reset with the sequence numbers of RFC 9293,
 * 3.10.7.1; for UDP an ICMP port unreachable that quotes the IP header and 8 bytes (RFC 792).
 * @return a complete IPv4 packet from the service's address to the caller.
 */
Result<std::string, RefusalError> buildRefusal(std::string_view packet);

/**
 * Builds the reset that terminates a TCP flow (RFC 9293, 3.10.7.1).
 * @param acknowledged the last acknowledgement number of the caller, the sequence number with which
 * it accepts a reset.
 * @return a complete IPv4 packet from the service's address to the caller; kNoReset for UDP.
 */
Result<std::string, RefusalError> buildFlowReset(const FlowKey& key, uint32_t acknowledged);

}  // namespace umberhold
