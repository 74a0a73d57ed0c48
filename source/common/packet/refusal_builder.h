/** @file Answers to callers whose packet is refused. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** Why a packet gets no answer. */
enum class RefusalError : uint8_t {
  /** parsePacket doesn't accept the packet. */
  kUnreadable,
  /** A reset is never answered by a reset (RFC 9293, 3.10.7.1). */
  kIsReset,
  /** The packet's source is no address of a single host (RFC 1122, 3.2.2). */
  kNoUnicastSource,
  /** The flow's protocol has no resets. */
  kNoReset,
};

/**
 * Builds the answer of the service to a packet that it refuses: for TCP a reset with the numbers of
 * RFC 9293, 3.10.7.1; for UDP an ICMP port unreachable that quotes the IP header and 8 bytes (RFC
 * 792).
 * @return a whole IPv4 packet from the service's address to the caller.
 */
Result<std::string, RefusalError> buildRefusal(std::string_view packet);

/**
 * Builds the reset that ends a TCP flow (RFC 9293, 3.10.7.1).
 * @param acknowledged what the caller acknowledged last: the number that it takes a reset for.
 * @return a whole IPv4 packet from the service's address to the caller; kNoReset for UDP.
 */
Result<std::string, RefusalError> buildFlowReset(const FlowKey& key, uint32_t acknowledged);

}  // namespace umberhold
