/**
 * @file Interface between the packet path and the decision where a flow goes.
 *
 * packet/packet_path.h parses a packet, looks up its service and calls a FlowDirector.
 * shard/shard_director.h implements it with shard owners, flow tables and handover; the baselines
 * in shard/baseline_director.h implement the same interface.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_key.h"

namespace umberhold {

/** Where this node received the packet from. */
enum class PacketSource : uint8_t { kFabric, kPeer };

/** A parsed packet, as passed to the director. */
struct FlowPacket {
  FlowKey key;
  FlowHash hash;
  ServiceId service;
  PacketPhase phase = PacketPhase::kUnmarked;
  PacketSource source = PacketSource::kFabric;
  /** Inner IP time to live; decremented by each relay, so that a relay loop ends. */
  uint8_t timeToLive = 64;
  /** Flow token that the caller reflects (packet/packet_format.h); 0: none. */
  uint32_t token = 0;
  /** As in ParsedPacket. */
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t dataBytes = 0;
};

/** Human-readable names of a host; valid until the director's hosts change. */
struct HostLabel {
  std::string_view name;
  std::string_view pool;
};

/**
 * The inputs of a placement decision, for logs and metrics. Valid until the director's next
 * decision or change.
 */
struct PlacementEvidence {
  std::string_view service;
  /** The pool that the flow was due to, if it overflowed to another pool of its split because of
   * lack of room; otherwise empty. */
  std::string_view overflowFrom;
  /** The host is in this node's zone. */
  bool ownZone = false;
  /** The flow was to be placed outside the node's zone, because the zone has few of the hosts or
   * they answer late. */
  bool leavesZone = false;
  /** The host is unresponsive: it recently left several openings unanswered. No better host was
   * available. */
  bool silent = false;
  /** The host's registration has disappeared, and no better host was available. */
  bool vanished = false;
  /** If this opening is a retransmission: the host that left the earlier copy unanswered; otherwise
   * empty. */
  std::string_view avoidedHost;
  /** The host's response time is far above its pool's median. */
  bool slow = false;
  /** The host's recent response time as a multiple of its pool's median. */
  double slowness = 1.0;
  /** Recent response time in the node's own zone as a multiple of the usual time. */
  double zoneScore = 1.0;
  /** The host's load by this node's own traffic, in recent packets. */
  double load = 0.0;
  uint32_t weight = 0;
  /** Estimated speed of the host as a multiple of the usual speed; 1: not known. */
  double speed = 1.0;
  /** Number of hosts that could have taken the flow. */
  uint32_t candidates = 0;
  /** Version of the catalogue that contains the pool, and when this node applied it. */
  uint64_t poolVersion = 0;
  TimePoint poolAppliedAt{};
};

/** Send the packet to the back end. */
struct ForwardToHost {
  HostId host;
  Endpoint endpoint;
  /** HostSpec::incarnation, for formats that carry it. */
  uint64_t incarnation = 0;
  /** Flow token to be reflected by the host and the caller; 0: none. */
  uint32_t token = 0;
  /** Empty if the director doesn't provide it. */
  HostLabel label{};
  /** Borrowed; set for the opening packet of a flow by directors that provide it. */
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
  /** The flow's host has definitely stopped. */
  kHostEnded,
  /** The flow's host is unresponsive (it acknowledges nothing), and its callers may retry their
   * requests elsewhere. */
  kHostSilent,
  /** The hosts are busy, and the opening has reached its maximum wait. */
  kHostsBusy,
  /** No service listens on the address. */
  kUnknownService,
  /** The flow was open, and the service that listened on its address was removed. */
  kServiceRemoved,
  kCount,
};

/** @return the snake_case label of a reason. */
std::string_view toString(RefusalReason reason);

/** Why a host counts as silent to the caller of one packet; for logs. */
struct SilentHostEvidence {
  HostLabel label;
  /** The host counts as dead by an earlier verdict (SilenceVerdict); otherwise this packet decided.
   */
  bool byVerdict = false;
  /** How often the refused data has passed, including this packet. */
  uint32_t copies = 0;
  /** Time since the data passed for the first time. */
  Duration sinceFirstCopy{0};
  /** Time since the host last acknowledged data at this node; unset if it never did. */
  std::optional<Duration> sinceAnswer;
  /** Time since the transmission of the latest data that another host answered; unset if unknown.
   */
  std::optional<Duration> sinceOvertaking;
};

/** Notify the caller that the flow is refused or that its host has stopped; the packet is not
 * forwarded. */
struct RefuseFlow {
  RefusalReason reason = RefusalReason::kNoHost;
  /** Borrowed; set for kHostSilent by directors that provide it. */
  const SilentHostEvidence* silence = nullptr;
};
/** Reset a flow towards its caller without a packet to answer, because its host is dead. */
struct ResetFlow {
  FlowKey key;
  /** The last acknowledgement number of the caller seen by this node. */
  uint32_t acknowledged = 0;
  RefusalReason reason = RefusalReason::kHostEnded;
};
/** Why a packet is held. */
enum class HoldReason : uint8_t {
  /** The owner of its flow is being determined. */
  kTakeover,
  /** No known host has its token; the host's entry may be missing temporarily. */
  kHostUnknown,
  /** The packet is an opening, and the hosts are busy. */
  kHostsBusy,
};

/** @return the snake_case label of a reason. */
std::string_view toString(HoldReason reason);

/** The director keeps a copy of the packet and releases it later, through a HeldPacketSink or to
 * its caller. */
struct HoldPacket {
  HoldReason reason = HoldReason::kTakeover;
};
/** Drop and count. */
struct DropPacket {
  DropReason reason = DropReason::kMalformed;
};

/** The decision for one packet. */
using FlowDecision = std::variant<ForwardToHost, RelayToNode, RefuseFlow, HoldPacket, DropPacket>;

/** Decides where packets go. No I/O; not thread safe. */
class FlowDirector {
 public:
  virtual ~FlowDirector() = default;

  /**
   * @param now the current instant.
   * @param packet the parsed packet.
   * @param bytes the whole inner IP packet; copied only if the decision is HoldPacket.
   * @return the decision for the packet.
   */
  virtual FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) = 0;
};

/** Receives packets that were held during a takeover and are now released; calls decide for them
 * again. */
class HeldPacketSink {
 public:
  virtual ~HeldPacketSink() = default;
  /** @param bytes the inner IP packet as it arrived; @param source where it had been received from.
   */
  virtual void release(TimePoint now, std::string bytes, PacketSource source) = 0;
};

}  // namespace umberhold
