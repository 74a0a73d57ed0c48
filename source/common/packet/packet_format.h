/**
 * @file Packet formats on the wire, between the packet path and the sockets.
 *
 * The default is a complete IPv4 packet, forwarded unchanged (GUE variant 1). A format may carry a
 * flow token, 32 bits that both ends of a flow echo in their own packets. With it, any node can
 * determine a flow's host without flow state (token/token_director.h).
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_director.h"
#include "common/packet/packet_parser.h"
#include "common/packet/refusal_builder.h"

namespace umberhold {

/** Parses and builds packets of one format. Stateless; never throws, whatever a packet contains. */
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;

  /** @param bytes one datagram. @return the parsed headers, or the reason to drop it. */
  virtual Result<ParsedPacket, DropReason> parse(std::string_view bytes) const = 0;

  /**
   * Builds the datagram that is sent to the host.
   * @param packet the received datagram, without padding.
   * @param buffer storage that may be used for the result; reusable between calls.
   * @return the datagram for the host; it points into packet or buffer.
   */
  virtual std::string_view rewriteForHost(std::string_view packet, const ForwardToHost& decision,
                                          std::string& buffer) const = 0;

  /** @return the datagram that is sent to the caller to refuse the packet. */
  virtual Result<std::string, RefusalError> refusal(std::string_view packet) const = 0;

  /**
   * @param acknowledged the last acknowledgement number of the flow's caller.
   * @return the datagram that is sent to the caller to terminate the flow; kNoReset if the flow's
   * protocol has no resets.
   */
  virtual Result<std::string, RefusalError> reset(const FlowKey& key,
                                                  uint32_t acknowledged) const = 0;
};

/** @return the default format, IPv4 with TCP or UDP. */
const PacketFormat& ipPacketFormat();

}  // namespace umberhold
