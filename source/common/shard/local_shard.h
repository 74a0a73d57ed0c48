/**
 * @file One shard at one node: its role, its state, and the decisions on its packets.
 *
 * docs/DESIGN.md, "Ownership: shards" and "Placement", is the specification. The implementation is
 * split: local_shard.cc holds the roles and their changes, local_shard_messages.cc the messages of
 * takeovers, local_shard_packets.cc the decisions on packets, local_shard_replication.cc what an
 * owner does for its replica.
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
#include "common/shard/held_shard.h"
#include "common/shard/hold_queue.h"
#include "common/shard/host_slots.h"
#include "common/shard/known_flows.h"
#include "common/shard/refusal_memory.h"
#include "common/shard/replica_copy.h"
#include "common/shard/replication_log.h"
#include "common/shard/shard_content.h"
#include "common/shard/shard_context.h"
#include "common/shard/snapshot_sender.h"
#include "common/shard/takeover.h"
#include "common/shard/unacknowledged_flows.h"

namespace umberhold {

/** Why a flow would go where it would go. */
enum class ExplainReason : uint8_t {
  kEstablished,
  kRefusedBefore,
  kBaseTable,
  kNotOwner,
  kNoHost,
};

/** Answer to "which host would this flow get and why". */
struct PlacementExplanation {
  ShardId shard;
  ShardRole role = ShardRole::kNone;
  std::optional<NodeId> owner;
  std::optional<HostId> host;
  ExplainReason reason = ExplainReason::kNotOwner;
  bool exception = false;
};

/** A shard's figures. */
struct ShardStats {
  ShardId shard;
  ShardRole role = ShardRole::kNone;
  bool replica = false;
  uint32_t epoch = 0;
  uint32_t flows = 0;
  bool knowsAllFlows = false;
  /** Flows that are not in the table are listed: a new UDP flow can be distinguished from them. */
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
  /** @return since when a change waits to be sent to the replica; the end of time for none. */
  TimePoint replicationWaitsSince() const;
  /** Tells the replica what it lacks, as far as the node's budget allows. Call it after tick(), the
   * shard that waits longest first. */
  void sendReplication(TimePoint now);
  /** The process was paused: asks whether another node owns the shard by now. */
  void reconfirm(TimePoint now);

  void onTakeoverRequest(TimePoint now, NodeId sender, const TakeoverRequest& request);
  void onTakeoverReply(TimePoint now, NodeId sender, const TakeoverReply& reply);
  void onOwnershipNotice(TimePoint now, NodeId sender, const OwnershipNotice& notice);
  void onSnapshotChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk);
  void onSnapshotAck(TimePoint now, NodeId sender, const SnapshotAck& ack);
  void onReplicaAppend(TimePoint now, NodeId sender, const ReplicaAppend& batch);
  void onReplicaAck(TimePoint now, NodeId sender, const ReplicaAck& ack);
  /** Another node says that it owned the shard at the epoch. */
  void onOwnerHeard(TimePoint now, NodeId owner, uint32_t epoch);

  /** Hosts were added, removed or moved, or a drain deadline may have passed. */
  void onHostsChanged(TimePoint now);
  /** The service's configuration changed: the replica must know the flows from before at once. */
  void hurryKnownFlows() { knownFlows_.hurry(); }
  /** The flow table forgot an entry of this shard. */
  void onFlowForgotten(TimePoint now, const FlowEntry& entry);

  ShardRole role() const { return role_; }
  uint32_t epoch() const { return epoch_; }
  uint32_t flowSlot() const { return flowSlot_; }
  /** @return the node that the owner replicates to. */
  std::optional<NodeId> replicaNode() const { return replicaNode_; }
  /** @return whether nothing of the shard is held here and no view gives it to this node. */
  bool isIdle() const;
  /** @return whether a leaving node may forget the shard. */
  bool isHandedOver(TimePoint now) const;
  /** @return what there is to hand over. */
  HeldShard heldShard() const;
  PlacementExplanation explain(TimePoint now, FlowHash flow) const;
  ShardStats stats(TimePoint now) const;

 private:
  // Roles (local_shard.cc).
  bool isNamedOwner() const;
  bool outranksSelf(NodeId node) const;
  /** @return whether this node owned the shard and keeps its state, also while it asks for it back.
   */
  bool holdsReleasedState() const { return hasState_ && role_ != ShardRole::kOwner; }
  HeldState held(TimePoint now) const;
  std::vector<NodeId> takeoverCandidates() const;
  void startTakeover(TimePoint now);
  void pollTakeover(TimePoint now);
  void takeOverContent(TimePoint now, bool direct, const ShardContent& content);
  void takeOverOwnState(TimePoint now);
  /**
   * @param fresh the service is so new that no flow can exist.
   * @param knowsAllFlows no owner before this one can have placed a flow.
   */
  void buildNew(TimePoint now, bool fresh, bool knowsAllFlows);
  bool isNewService(TimePoint now) const;
  void becomeOwner(TimePoint now, bool cautious, const std::vector<HostPermits>& permits);
  void countEntries(TimePoint now);
  void releaseHeld(TimePoint now);
  void release(TimePoint now, NodeId successor);
  void fence(TimePoint now, NodeId newerOwner, uint32_t newerEpoch);
  void forgetState();
  void tickReleased(TimePoint now);
  void askWhoOwns(TimePoint now);
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
  /** @return whether a UDP packet without entry can only be the first of its flow. */
  bool opensUdpFlow(FlowHash flow) const;
  FlowDecision adopt(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision placeNew(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  FlowDecision placeAtBase(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** An exception waits until the replica has its record, unless the replica was heard just now:
   * see UnacknowledgedFlows. */
  FlowDecision accept(TimePoint now, const FlowPacket& packet, std::string_view bytes, HostId host);
  FlowDecision refuse(TimePoint now, const FlowPacket& packet);
  FlowDecision relayTo(NodeId node) const;
  FlowDecision relayToNamed() const;
  FlowDecision hold(const FlowPacket& packet, std::string_view bytes);
  FlowDecision forward(uint16_t slot) const;
  bool isCautious(TimePoint now) const;
  /** Closing and reset flows no longer count against their host. */
  void countChange(const FlowEntry& before, const FlowEntry& after);
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
  /** Lets new flows go on whose records the replica has. */
  void releaseAcknowledged(TimePoint now);
  /** Places new flows at the base that waited for the replica in vain. */
  void placeOverdue(TimePoint now);
  /** The node owns the shard no more. @return packets of new flows that were never forwarded. */
  std::vector<HoldQueue::Packet> giveUpUnacknowledged(TimePoint now);
  void releasePackets(TimePoint now, std::vector<HoldQueue::Packet> packets);
  void learnAllFlows(TimePoint now);
  void streamKnownFlows(TimePoint now);
  /** @return whether it is known of every flow whether it existed. */
  bool knowsOldFlows() const { return knowsAllFlows_ || oldFlows_; }
  std::vector<FlowFingerprint> listKnownFlows(TimePoint now) const;
  /** Flows exist that are neither in the table nor listed. */
  void forgetWhatIsKnown(TimePoint now);

  ShardContext& context_;
  ServiceRuntime& service_;
  ShardId id_;
  ShardRole role_ = ShardRole::kNone;
  uint32_t flowSlot_;
  uint32_t epoch_ = 0;
  HostSlots slots_;
  BaseTable base_;
  bool knowsAllFlows_ = false;
  /** Every flow that the previous owner had; those seen since are in the table. */
  std::optional<KnownFlowSet> oldFlows_;
  RefusalMemory refused_;

  // Owner.
  TimePoint ownedSince_{};
  TimePoint cautiousUntil_{};
  TimePoint lastNotice_{};
  TimePoint lastBaseAdvance_{};
  ReplicationLog log_;
  KnownFlowStream knownFlows_;
  UnacknowledgedFlows unacknowledged_;
  /** When the replica last acknowledged something. */
  TimePoint replicaHeardAt_{};
  /** A record waited too long for its acknowledgement, and none has come since. */
  bool replicaLate_ = false;
  std::optional<NodeId> replicaNode_;
  std::unique_ptr<SnapshotSender> replicaSnapshot_;
  uint32_t replicaSnapshotNumber_ = 0;
  uint32_t replicaSnapshotSequence_ = 0;
  /** The base table that the replica is being given. */
  std::optional<BaseTable> nextBase_;
  bool snapshotCarriesNextBase_ = false;

  // Acquiring.
  std::unique_ptr<Takeover> takeover_;
  uint32_t attempt_ = 0;
  HoldQueue held_;
  std::optional<NodeId> lastKnownOwner_;
  uint32_t highestEpochSeen_ = 0;

  // Released.
  /** The entries and the base table are those of an epoch that this node owned. */
  bool hasState_ = false;
  /** The state was given up because a newer owner exists, not because it asked for it. */
  bool fenced_ = false;
  NodeId successor_;
  bool handedOver_ = false;
  TimePoint releasedAt_{};
  std::vector<HostPermits> releasedPermits_;
  std::unordered_map<NodeId, std::unique_ptr<SnapshotSender>> takeoverSenders_;

  std::unique_ptr<ReplicaCopy> replica_;
};

}  // namespace umberhold
