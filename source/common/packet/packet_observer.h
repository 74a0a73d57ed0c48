/** @file Observer of the outcome of each packet, for logs and metrics. */
#pragma once

#include <string_view>

#include "common/base/time.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_director.h"
#include "common/packet/packet_parser.h"

namespace umberhold {

/** Called after the packet was processed. Implementations must neither block nor throw. */
class PacketObserver {
 public:
  virtual ~PacketObserver() = default;

  /** The packet was parsed and a decision was made, which includes the refusal of an address
   * without a service. */
  virtual void onDecided(TimePoint now, const ParsedPacket& packet, const FlowDecision& decision,
                         std::string_view bytes) = 0;
  /** The packet was dropped before a decision: it could not be parsed, or the node was not ready.
   */
  virtual void onDropped(TimePoint now, DropReason reason, std::string_view bytes) = 0;
  /** A flow was reset without a packet of its caller. */
  virtual void onReset(TimePoint now, const ResetFlow& decision) = 0;
};

}  // namespace umberhold
