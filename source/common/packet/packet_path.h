/** @file The way of one packet through a node: parse, find the service, decide, act, count. */
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

/** What became of the packets so far. Every packet counts once in one of the outcomes. */
struct PacketCounters {
  /** Packets that came in, by PacketSource; a packet that was held and released comes in twice. */
  std::array<uint64_t, 2> received = {};
  uint64_t forwarded = 0;
  uint64_t relayed = 0;
  uint64_t refused = 0;
  uint64_t held = 0;
  /** By DropReason. */
  std::array<uint64_t, static_cast<size_t>(DropReason::kCount)> dropped = {};
  /** Refused packets, counted in `refused`, for which no answer could be built. */
  uint64_t unanswered = 0;
  /** Packets that waited for a node to become ready; each comes in twice. */
  uint64_t heldUntilReady = 0;
  /** Flows that were ended although they sent no packet; not counted in `refused`. */
  uint64_t resetFlows = 0;
};

/** Takes packets in and sends them on. Not thread safe; never throws on what a packet holds. */
class PacketPath : public HeldPacketSink {
 public:
  /** All are borrowed and must outlive the path. */
  PacketPath(const ServiceLookup& services, FlowDirector& director, PacketOutput& output,
             const PacketFormat& format = ipPacketFormat());

  /** Until the node is ready every packet is dropped as kNotReady, also one from another node. */
  void setReady(bool ready) { ready_ = ready; }
  /** Packets that arrive before releaseHeld() wait for it instead of being dropped. */
  void holdUntilReady() { holdUntilReady_ = true; }
  /** Call it once the node is ready: what arrived before goes through the path. */
  void releaseHeld(TimePoint now);
  /** Whether callers of an address without a service are refused rather than left in silence. */
  void setRefuseUnknownServices(bool refuse) { refuseUnknownServices_ = refuse; }

  /** @param observer borrowed; must outlive the path. */
  void setObserver(PacketObserver* observer) { observer_ = observer; }

  /** @param bytes a packet in the path's format; valid during the call only. */
  void onPacket(TimePoint now, PacketSource source, std::string_view bytes);

  /** Ends a flow that sent no packet. */
  void onReset(TimePoint now, const ResetFlow& decision);

  /** HeldPacketSink: a packet that had to wait goes through the path again. */
  void release(TimePoint now, std::string bytes, PacketSource source) override;

  const PacketCounters& counters() const { return counters_; }

 private:
  void route(TimePoint now, PacketSource source, const ParsedPacket& packet,
             std::string_view bytes);
  FlowDecision decide(TimePoint now, PacketSource source, const ParsedPacket& packet,
                      std::string_view bytes);
  FlowDecision rejectUnknown(const ParsedPacket& packet) const;
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
  /** Puts a packet by, or drops it where it can't be read. */
  void hold(TimePoint now, std::string_view bytes);

  HeldPackets held_;
  bool holdUntilReady_ = false;
  bool ready_ = false;
  bool refuseUnknownServices_ = false;
  PacketCounters counters_;
  /** The relayed packet, whose time to live is lowered; kept to save allocations. */
  std::string relayBuffer_;
  /** The packet for a host, in formats that change it. */
  std::string hostBuffer_;
};

}  // namespace umberhold
