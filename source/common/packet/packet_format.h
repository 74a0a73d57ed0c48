/**
 * @file The form of packets on the wire, between the packet path and the sockets.
 *
 * The default is a whole IPv4 packet, sent on unchanged (GUE variant 1). A format may carry a flow
 * token, 32 bits that both ends of a flow reflect in their own packets: it lets any node find a
 * flow's host without flow state (flow/token_director.h).
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

/** Reads and writes packets of one form. Stateless, never throws on what a packet holds. */
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;

  /** @param bytes one datagram. @return what the packet path needs to know of it. */
  virtual Result<ParsedPacket, DropReason> parse(std::string_view bytes) const = 0;

  /**
   * @param packet the datagram, without padding.
   * @param buffer may be written and kept between calls.
   * @return the datagram for the host; it points into packet or buffer.
   */
  virtual std::string_view rewriteForHost(std::string_view packet, const ForwardToHost& decision,
                                   std::string& buffer) const = 0;

  /** @return the datagram that refuses the packet, for its caller. */
  virtual Result<std::string, RefusalError> refusal(std::string_view packet) const = 0;

  /**
   * @param acknowledged what the flow's caller acknowledged last.
   * @return the datagram that ends the flow, for its caller; kNoReset where the flow's protocol has
   * none.
   */
  virtual Result<std::string, RefusalError> reset(const FlowKey& key,
                                                  uint32_t acknowledged) const = 0;
};

/** @return the default format: IPv4 with TCP or UDP. */
const PacketFormat& ipPacketFormat();

}  // namespace umberhold
