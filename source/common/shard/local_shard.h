/**
 * @file One shard at one node: its role, its state, and the decisions on its packets.
 *
 * The specification is docs/DESIGN.md, "Ownership: shards" and "Placement". The implementation is
 * split: local_shard.cc contains the roles and their transitions, local_shard_messages.cc the
 * messages of takeovers, local_shard_packets.cc the decisions on packets,
 * local_shard_replication.cc the owner's replication.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/flow/flow_director.h"
#include "common/placement/base_table.h"
#include "common/shard/hold_queue.h"
#include "common/shard/host_slots.h"
#include "common/shard/known_flows.h"
#include "common/shard/pending_handover.h"
#include "common/shard/refusal_memory.h"
#include "common/shard/replica_copy.h"
#include "common/shard/replication_log.h"
#include "common/shard/shard_content.h"
#include "common/shard/shard_context.h"
#include "common/shard/snapshot_sender.h"
#include "common/shard/takeover.h"
#include "common/shard/unacknowledged_flows.h"

namespace umberhold {

/** Reason for the answer in a PlacementExplanation. */
enum class ExplainReason : uint8_t {
  kEstablished,
  kRefusedBefore,
  kBaseTable,
  kNotOwner,
  kNoHost,
};

/** The host that a flow would get at this node, and the reason. */
struct PlacementExplanation {
  ShardId shard;
  ShardRole role = ShardRole::kNone;
  std::optional<NodeId> owner;
  std::optional<HostId> host;
  ExplainReason reason = ExplainReason::kNotOwner;
  bool exception = false;
};

/** Status of one shard. */
struct ShardStats {
  ShardId shard;
  ShardRole role = ShardRole::kNone;
  bool replica = false;
  uint32_t epoch = 0;
  uint32_t flows = 0;
  bool knowsAllFlows = false;
  /** All existing flows are in the table or listed, so that a new UDP flow can be recognised. */
  bool knowsOldFlows = false;
  bool replicaCurrent = false;
  size_t pendingChanges = 0;
};

/** See the file comment. Not thread safe. */
class LocalShard {
 public:
  LocalShard(ShardContext& context, ServiceRuntime& service, ShardId id);
  ~LocalShard();
  LocalShard(const LocalShard&) = delete;
  LocalShard& operator=(const LocalShard&) = delete;

  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  void tick(TimePoint now);
  /**
   * @return the time since when a change waits to be sent to the replica; TimePoint::max() if none.
   */
  TimePoint pendingReplicationSince() const;
  /**
   * Sends pending changes to the replica as far as the node's byte budget allows. Call it after
   * tick(), in the order of pendingReplicationSince() across shards.
   */
  void sendReplication(TimePoint now);
  /** After a pause of the process: queries whether another node has taken over the shard. */
  void reconfirmOwnership(TimePoint now);

  void onTakeoverRequest(TimePoint now, NodeId sender, const TakeoverRequest& request);
  void onTakeoverReply(TimePoint now, NodeId sender, const TakeoverReply& reply);
  void onOwnershipNotice(TimePoint now, NodeId sender, const OwnershipNotice& notice);
  void onSnapshotChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk);
  void onSnapshotAck(TimePoint now, NodeId sender, const SnapshotAck& ack);
  void onReplicaAppend(TimePoint now, NodeId sender, const ReplicaAppend& batch);
  void onReplicaAck(TimePoint now, NodeId sender, const ReplicaAck& ack);
  /** Handles another node's announcement that it owned the shard at the epoch. */
  void onOwnerAnnounced(TimePoint now, NodeId owner, uint32_t epoch);

  /** Handles added, removed or moved hosts, and drain deadlines that may have passed. */
  void onHostsChanged(TimePoint now);
  /** After a change of the service: sends the replica all flows from before it without delay. */
  void flushKnownFlows() { knownFlows_.requestFlush(); }
  /** Handles the removal of an entry of this shard from the flow table. */
  void onFlowRemoved(TimePoint now, const FlowEntry& entry);

  ShardRole role() const { return role_; }
  uint32_t epoch() const { return epoch_; }
  uint32_t flowSlot() const { return flowSlot_; }
  /** @return the node to which the owner replicates. */
  std::optional<NodeId> replicaNode() const { return replicaNode_; }
  /** @return whether this node holds nothing of the shard and is not assigned to it. */
  bool isUnused() const;
  /** @return whether a leaving node may drop the shard. */
  bool isHandedOver(TimePoint now) const;
  /** @return the state that is still to be handed over. */
  PendingHandover pendingHandover() const;
  PlacementExplanation explain(TimePoint now, FlowHash flow) const;
  ShardStats stats(TimePoint now) const;

 private:
  // Roles (local_shard.cc).
  bool isAssignedOwner() const;
  bool outranksSelf(NodeId node) const;
  /**
   * @return whether this node owned the shard and keeps its state, including while it acquires the
   * shard again.
   */
  bool holdsReleasedState() const { return hasState_ && role_ != ShardRole::kOwner; }
  HeldState held(TimePoint now) const;
  std::vector<NodeId> takeoverCandidates() const;
  void startTakeover(TimePoint now);
  void pollTakeover(TimePoint now);
  void takeOverContent(TimePoint now, bool direct, const ShardContent& content);
  void takeOverOwnState(TimePoint now);
  /**
   * Becomes owner without state from another node. @param fresh the service is so new that no flow
   * can exist. @param knowsAllFlows no previous owner can have placed a flow.
   */
  void createEmpty(TimePoint now, bool fresh, bool knowsAllFlows);
  bool isNewService(TimePoint now) const;
  void becomeOwner(TimePoint now, bool baseOnly, const std::vector<HostPermits>& permits);
  void countEntries(TimePoint now);
  void releaseHeldPackets(TimePoint now);
  void release(TimePoint now, NodeId successor);
  void fence(TimePoint now, NodeId newerOwner, uint32_t newerEpoch);
  void discardState();
  void tickReleased(TimePoint now);
  void queryOwner(TimePoint now);
  void tickSenders(TimePoint now);
  void tickReplica(TimePoint now);
  void sendNotice(TimePoint now);
  void abandonTakeover(TimePoint now);
  std::optional<ShardContent> heldContent(TimePoint now) const;

  // Packets (local_shard_packets.cc).
  FlowDecision decideAsOwner(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision decideAcquiring(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision decideReleased(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision decideUnknown(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision decideHostGone(TimePoint now, const FlowPacket& packet, std::string_view bytes,
                              const FlowEntry& entry);
  FlowDecision serveEntry(TimePoint now, const FlowPacket& packet, std::string_view bytes,
                          const FlowEntry& entry);
  /** @return whether a UDP packet without an entry is certainly the first of its flow. */
  bool opensUdpFlow(FlowHash flow) const;
  FlowDecision adopt(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision placeNew(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision placeAtBase(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /**
   * Records a new flow on the host. The first packet of an exception (a flow whose host differs
   * from the one in the base table) is held until the replica has the record, unless the replica
   * has acknowledged something recently: see UnacknowledgedFlows.
   */
  FlowDecision accept(TimePoint now, const FlowPacket& packet, std::string_view bytes, HostId host);
  FlowDecision refuse(TimePoint now, const FlowPacket& packet);
  FlowDecision relayTo(NodeId node) const;
  FlowDecision relayToAssignedOwner() const;
  FlowDecision hold(const FlowPacket& packet, std::string_view bytes);
  FlowDecision forward(uint16_t slot) const;
  bool placesAtBaseOnly(TimePoint now) const;
  /** Closing and reset flows no longer count towards their host's flows. */
  void updateFlowCounts(const FlowEntry& before, const FlowEntry& after);
  void dropEntry(TimePoint now, const FlowEntry& entry);

  // Base table and replication (local_shard_replication.cc).
  std::optional<uint16_t> enterHost(HostId host);
  bool isException(FlowHash flow, HostId host) const;
  void setBase(TimePoint now, std::vector<BaseHost> base);
  void markExceptions(TimePoint now);
  ShardContent content(TimePoint now, bool handOver) const;
  void tickReplication(TimePoint now);
  void chooseReplica(TimePoint now);
  void startReplicaSnapshot(TimePoint now);
  void pollReplicaSnapshot(TimePoint now);
  void advanceBase(TimePoint now);
  void finishBaseAdvance(TimePoint now);
  bool replicationReliable(TimePoint now) const;
  /** Forwards held new flows whose records the replica has acknowledged. */
  void releaseAcknowledged(TimePoint now);
  /** Places held new flows by the base table if the replica's acknowledgement is overdue. */
  void releaseOverdue(TimePoint now);
  /**
   * Drops unacknowledged flows when the node loses the shard. @return their packets, which were
   * never forwarded.
   */
  std::vector<HoldQueue::Packet> dropUnacknowledged(TimePoint now);
  void releasePackets(TimePoint now, std::vector<HoldQueue::Packet> packets);
  void updateAllFlowsKnown(TimePoint now);
  void streamKnownFlows(TimePoint now);
  /** @return whether existing flows can be distinguished from new ones. */
  bool knowsOldFlows() const { return knowsAllFlows_ || oldFlows_; }
  std::vector<FlowFingerprint> listKnownFlows(TimePoint now) const;
  /** Records that flows exist that are neither in the table nor listed. */
  void invalidateKnownFlows(TimePoint now);

  ShardContext& context_;
  ServiceRuntime& service_;
  ShardId id_;
  ShardRole role_ = ShardRole::kNone;
  uint32_t flowSlot_;
  uint32_t epoch_ = 0;
  HostSlots slots_;
  BaseTable base_;
  bool knowsAllFlows_ = false;
  /** All flows of the previous owner; flows seen since then are in the table. */
  std::optional<KnownFlowSet> oldFlows_;
  RefusalMemory refused_;

  // Owner.
  TimePoint ownedSince_{};
  TimePoint baseOnlyUntil_{};
  TimePoint lastNotice_{};
  TimePoint lastBaseAdvance_{};
  ReplicationLog log_;
  KnownFlowStream knownFlows_;
  UnacknowledgedFlows unacknowledged_;
  /** Time of the replica's last acknowledgement. */
  TimePoint lastReplicaAck_{};
  /** An acknowledgement was overdue, and none has arrived since. */
  bool replicaOverdue_ = false;
  std::optional<NodeId> replicaNode_;
  std::unique_ptr<SnapshotSender> replicaSnapshot_;
  uint32_t replicaSnapshotNumber_ = 0;
  uint32_t replicaSnapshotSequence_ = 0;
  /** The next base table, while it is being transferred to the replica. */
  std::optional<BaseTable> nextBase_;
  bool snapshotCarriesNextBase_ = false;

  // Acquiring.
  std::unique_ptr<Takeover> takeover_;
  uint32_t attempt_ = 0;
  HoldQueue heldPackets_;
  std::optional<NodeId> lastKnownOwner_;
  uint32_t highestEpochSeen_ = 0;

  // Released.
  /** The entries and the base table belong to an epoch that this node owned. */
  bool hasState_ = false;
  /** The state was released because a newer owner exists, not on that owner's request. */
  bool fenced_ = false;
  NodeId successor_;
  bool handedOver_ = false;
  TimePoint releasedAt_{};
  std::vector<HostPermits> releasedPermits_;
  std::unordered_map<NodeId, std::unique_ptr<SnapshotSender>> takeoverSenders_;

  std::unique_ptr<ReplicaCopy> replica_;
};

}  // namespace umberhold
