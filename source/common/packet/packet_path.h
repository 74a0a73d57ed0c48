/** @file Processing of a packet in a node: parse, find the service, decide, act, count. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/time.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_director.h"
#include "common/flow/held_packets.h"
#include "common/flow/service_lookup.h"
#include "common/packet/packet_format.h"
#include "common/packet/packet_observer.h"
#include "common/packet/packet_output.h"
#include "common/packet/packet_parser.h"

namespace umberhold {

/** Packet counters since the start. Every packet is counted in exactly one of the outcomes. */
struct PacketCounters {
  /** Received packets, by PacketSource; a packet that was held and released is counted twice. */
  std::array<uint64_t, 2> received = {};
  uint64_t forwarded = 0;
  uint64_t relayed = 0;
  uint64_t refused = 0;
  uint64_t held = 0;
  /** By DropReason. */
  std::array<uint64_t, static_cast<size_t>(DropReason::kCount)> dropped = {};
  /** Refusals and resets for which no answer could be built; the refusals are also in `refused`. */
  uint64_t unanswered = 0;
  /** Packets that were held until the node was ready; each is counted twice in `received`. */
  uint64_t heldUntilReady = 0;
  /** Flows that were reset without a packet of their caller; not counted in `refused`. */
  uint64_t resetFlows = 0;
};

/** Receives packets and forwards them. Not thread safe; never throws, whatever a packet contains.
 */
class PacketPath : public HeldPacketSink {
 public:
  /** All references are borrowed and must outlive this. */
  PacketPath(const ServiceLookup& services, FlowDirector& director, PacketOutput& output,
             const PacketFormat& format = ipPacketFormat());

  /** Until the node is ready, all packets are dropped as kNotReady, including those relayed by
   * other nodes. */
  void setReady(bool ready) { ready_ = ready; }
  /** Holds packets that arrive while the node is not ready until releaseHeld(), instead of dropping
   * them. */
  void holdUntilReady() { holdUntilReady_ = true; }
  /** Processes the held packets. Must be called once the node is ready. */
  void releaseHeld(TimePoint now);
  /** Whether packets to an address without a service are refused instead of dropped. */
  void setRefuseUnknownServices(bool refuse) { refuseUnknownServices_ = refuse; }

  /** @param observer borrowed; must outlive this. */
  void setObserver(PacketObserver* observer) { observer_ = observer; }

  /** @param bytes a packet in the path's format; valid during the call only. */
  void onPacket(TimePoint now, PacketSource source, std::string_view bytes);

  /** Resets a flow without a packet of its caller. */
  void onReset(TimePoint now, const ResetFlow& decision);

  /** HeldPacketSink: processes a packet again that was held. */
  void release(TimePoint now, std::string bytes, PacketSource source) override;

  const PacketCounters& counters() const { return counters_; }

 private:
  void route(TimePoint now, PacketSource source, const ParsedPacket& packet,
             std::string_view bytes);
  FlowDecision decide(TimePoint now, PacketSource source, const ParsedPacket& packet,
                      std::string_view bytes);
  /**
   * Decides on a packet to an address without a service. Another node may have opened its flow for
   * a service that this node does not know yet; the director can still find its host by the token.
   */
  FlowDecision decideWithoutService(TimePoint now, const FlowPacket& packet,
                                    std::string_view bytes);
  void dropBeforeDecision(TimePoint now, DropReason reason, std::string_view bytes);
  void drop(DropReason reason);
  void act(const ForwardToHost& decision, const ParsedPacket& packet, std::string_view bytes);
  void act(const RelayToNode& decision, const ParsedPacket& packet, std::string_view bytes);
  void act(const RefuseFlow& decision, const ParsedPacket& packet, std::string_view bytes);
  void act(const HoldPacket& decision, const ParsedPacket& packet, std::string_view bytes);
  void act(const DropPacket& decision, const ParsedPacket& packet, std::string_view bytes);

  const ServiceLookup& services_;
  FlowDirector& director_;
  PacketOutput& output_;
  const PacketFormat& format_;
  PacketObserver* observer_ = nullptr;
  /** Holds a packet until the node is ready, or drops it if it cannot be parsed. */
  void hold(TimePoint now, std::string_view bytes);

  HeldPackets held_;
  bool holdUntilReady_ = false;
  bool ready_ = false;
  bool refuseUnknownServices_ = false;
  PacketCounters counters_;
  /** The relayed packet with a decremented time to live; a member to avoid allocations. */
  std::string relayBuffer_;
  /** The packet for a host, in formats that rewrite it. */
  std::string hostBuffer_;
};

}  // namespace umberhold
