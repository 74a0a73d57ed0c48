/** @file Why a packet was dropped; each reason is a label of umberhold_packets_dropped_total. */
#pragma once

#include <cstdint>
#include <string_view>

namespace umberhold {

enum class DropReason : uint8_t {
  kTruncated,
  kMalformed,
  kNotIpv4,
  kFragment,
  kUnsupportedProtocol,
  kUnknownService,
  /** The service belongs to another region. */
  kWrongRegion,
  /** This node has not yet received the configuration. */
  kNotReady,
  /** To this node's knowledge, no live node owns the shard. */
  kNoOwner,
  /** The time to live of a packet to be relayed has expired, most likely in a relay loop. */
  kRelayLoop,
  /** No host of the service may take the flow, and a refusal isn't safe because its request may
   * already have been executed. */
  kNoHost,
  /** Packet of an established flow whose host is gone. */
  kHostGone,
  /** The shard is being taken over and its queue of held packets is full. */
  kHoldQueueFull,
  /** The source has reached its limit of unestablished flows. */
  kFloodLimited,
  /** The flow table is full and no entry can be evicted. */
  kFlowTableFull,
  /** First packet of a flow that was refused recently; the refusal has already been sent. */
  kRefusedBefore,
  kCount,
};

/** @return the snake_case label of the reason. */
std::string_view toString(DropReason reason);

}  // namespace umberhold
