/**
 * @file The seam between the packet path and the decision where a flow goes.
 *
 * packet/packet_path.h parses a packet, finds its service and asks a FlowDirector. The real
 * director (shard/shard_director.h) knows owners, flow tables and hand-over; the baselines of
 * shard/baseline_director.h stand behind the same interface.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** Who handed the packet to this node. */
enum class PacketSource : uint8_t { kFabric, kPeer };

/** A parsed packet, as the director sees it. */
struct FlowPacket {
  FlowKey key;
  FlowHash hash;
  ServiceId service;
  PacketPhase phase = PacketPhase::kUnmarked;
  PacketSource source = PacketSource::kFabric;
  /** Inner IP time to live; a relay lowers it by one, so that a relay loop ends. */
  uint8_t timeToLive = 64;
  /** Flow token that the caller reflects (packet/packet_format.h); 0: none. */
  uint32_t token = 0;
  /** As in ParsedPacket. */
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t dataBytes = 0;
};

/** A host's names, for people; valid until the director's next change of hosts. */
struct HostLabel {
  std::string_view name;
  std::string_view pool;
};

/**
 * What decided where a new flow went, for logs and metrics. Valid until the director's next
 * decision or change.
 */
struct PlacementEvidence {
  std::string_view service;
  /** The pool that the flow was due to, where another one of its split took it for lack of room;
   * or empty. */
  std::string_view overflowFrom;
  /** The host is in this node's zone. */
  bool ownZone = false;
  /** This flow was to leave the node's zone, because the zone has few of the hosts or they answer
   * late. */
  bool leavesZone = false;
  /** The host left several openings unanswered of late, and no better one was there. */
  bool silent = false;
  /** The host's registration has vanished, and no better one was there. */
  bool vanished = false;
  /** This opening is a repeat; the host that left the earlier copy unanswered, or empty. */
  std::string_view avoidedHost;
  /** The host answers far later than its pool's median. */
  bool slow = false;
  /** The host's answers of late, as a multiple of its pool's median. */
  double slowness = 1.0;
  /** Answers of the node's own zone of late, as a multiple of the usual time. */
  double zoneScore = 1.0;
  /** The host's load by this node's own packets, in packets of late. */
  double load = 0.0;
  uint32_t weight = 0;
  /** Work of the host in the same time, as a multiple of the usual, as learnt; 1: not known. */
  double speed = 1.0;
  /** Hosts that could have taken the flow. */
  uint32_t candidates = 0;
  /** Version of the catalogue that the pool is from, and when this node applied it. */
  uint64_t poolVersion = 0;
  TimePoint poolAppliedAt{};
};

/** Send the packet to the back end. */
struct ForwardToHost {
  HostId host;
  Endpoint endpoint;
  /** HostSpec::incarnation, for formats that carry it. */
  uint64_t incarnation = 0;
  /** Flow token for the host and the caller to reflect; 0: none. */
  uint32_t token = 0;
  /** Empty where the director doesn't say. */
  HostLabel label{};
  /** Borrowed; set by directors that say it, for the opening packet of a flow. */
  const PlacementEvidence* placement = nullptr;
};
/** Send the packet to the relay endpoint of the node that owns the flow. */
struct RelayToNode {
  NodeId node;
  Endpoint endpoint;
};
/** Why a flow is refused. */
enum class RefusalReason : uint8_t {
  /** No host may take the flow. */
  kNoHost,
  /** The flow's host has definitely ended. */
  kHostEnded,
  /** The flow's host acknowledges nothing, and its callers may repeat their requests elsewhere. */
  kHostSilent,
  /** The hosts have enough to do, and the opening has waited as long as it may. */
  kHostsBusy,
  /** No service has the address. */
  kUnknownService,
  kCount,
};

/** @return the snake_case label of a reason. */
std::string_view toString(RefusalReason reason);

/** Answer the caller: the flow is refused, or its host has ended; the packet is not forwarded. */
struct RefuseFlow {
  RefusalReason reason = RefusalReason::kNoHost;
};
/** Answer the caller of a flow although it sent no packet: its host is dead. */
struct ResetFlow {
  FlowKey key;
  /** What the caller acknowledged last, as far as this node saw. */
  uint32_t acknowledged = 0;
  RefusalReason reason = RefusalReason::kHostEnded;
};
/** What a packet waits for. */
enum class HoldReason : uint8_t {
  /** The owner of its flow is being found. */
  kTakeover,
  /** No known host has its token; the host may be without an entry for a moment. */
  kHostUnknown,
  /** An opening: the hosts have enough to do. */
  kHostsBusy,
};

/** @return the snake_case label of a reason. */
std::string_view toString(HoldReason reason);

/** The director keeps a copy (it was given the bytes) and releases it later, by a HeldPacketSink or
 * to its caller. */
struct HoldPacket {
  HoldReason reason = HoldReason::kTakeover;
};
/** Drop and count. */
struct DropPacket {
  DropReason reason = DropReason::kMalformed;
};

/** What to do with one packet. */
using FlowDecision = std::variant<ForwardToHost, RelayToNode, RefuseFlow, HoldPacket, DropPacket>;

/** Decides where packets go. No I/O; not thread safe. */
class FlowDirector {
 public:
  virtual ~FlowDirector() = default;

  /**
   * @param now the current instant.
   * @param packet the parsed packet.
   * @param bytes the whole inner IP packet, copied only where the decision is HoldPacket.
   * @return what to do with the packet.
   */
  virtual FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) = 0;
};

/** Takes packets that were held during a takeover and may now go on; runs them through decide
 * again. */
class HeldPacketSink {
 public:
  virtual ~HeldPacketSink() = default;
  /** @param bytes the inner IP packet as it arrived; @param source who had handed it in. */
  virtual void release(TimePoint now, std::string bytes, PacketSource source) = 0;
};

}  // namespace umberhold
