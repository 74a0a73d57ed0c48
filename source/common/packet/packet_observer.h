/** @file Who is notified what became of each packet: logs and metrics, which decide nothing. */
#pragma once

#include <string_view>

#include "common/base/time.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_director.h"
#include "common/packet/packet_parser.h"

namespace umberhold {

/** Called after the packet was acted on. Must neither block nor throw. */
class PacketObserver {
 public:
  virtual ~PacketObserver() = default;

  /** The packet was parsed and decided on; a refusal of an address without a service included. */
  virtual void onDecided(TimePoint now, const ParsedPacket& packet, const FlowDecision& decision,
                         std::string_view bytes) = 0;
  /** The packet was dropped before a decision: it could not be read, or the node wasn't ready. */
  virtual void onDropped(TimePoint now, DropReason reason, std::string_view bytes) = 0;
  /** A flow was ended although it sent no packet. */
  virtual void onReset(TimePoint now, const ResetFlow& decision) = 0;
};

}  // namespace umberhold
