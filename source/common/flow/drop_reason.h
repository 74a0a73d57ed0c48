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
  /** The service lives in another region. */
  kWrongRegion,
  /** This node has not yet taken over the configuration. */
  kNotReady,
  /** No live node owns the shard in this node's view. */
  kNoOwner,
  /** The packet was relayed more often than kRelayLimit allows. */
  kRelayLoop,
  /** No host of the service may take the flow, and it can't be said that it never ran. */
  kNoHost,
  /** Mid-flow packet of a flow whose host is gone. */
  kHostGone,
  /** The shard is being taken over and its queue of held packets is full. */
  kHoldQueueFull,
  /** One source opens flows faster than its share of the flow table allows. */
  kFloodLimited,
  /** The flow table is full and nothing in it may be given up. */
  kFlowTableFull,
  /** First packet of a flow that was refused a short while ago; the refusal was already sent. */
  kRefusedBefore,
  kCount,
};

/** @return the snake_case label of a reason. */
std::string_view toString(DropReason reason);

}  // namespace umberhold
