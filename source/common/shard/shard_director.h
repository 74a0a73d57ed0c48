/**
 * @file The standard FlowDirector: shards with owners, replicas and handover.
 *
 * Routes packets and messages to the LocalShards of this node, keeps the ShardMap up to date and
 * runs periodic work. See docs/DESIGN.md, "Ownership: shards".
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/config/service_source.h"
#include "common/flow/flow_director.h"
#include "common/flow/flow_table.h"
#include "common/membership/membership_view.h"
#include "common/shard/baseline_director.h"
#include "common/shard/local_shard.h"
#include "common/shard/shard_context.h"
#include "common/shard/shard_map.h"
#include "common/wire/message.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Everything that a director borrows; all must outlive it. */
struct ShardDirectorParts {
  const MembershipView& view;
  const ServiceSource& services;
  FlowTable& flows;
  MessageSink& messages;
  HeldPacketSink& held;
};

/** See the file comment. Not thread safe. */
class ShardDirector : public FlowDirector, public FlowTableObserver, public MembershipObserver {
 public:
  /** Registers itself as the observer of the flow table. */
  ShardDirector(const ShardDirectorOptions& options, const ShardDirectorParts& parts,
                uint64_t seed);
  ~ShardDirector() override;

  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;
  /** Runs due work, including the flow table's sweep; call about every 10 ms. */
  void tick(TimePoint now, UnixSeconds unixNow);
  /**
   * Handles a message of messages/shard_messages.h. @return false for any other kind. @param from
   * control endpoint of the sender, which this node's view may not contain yet.
   */
  bool onMessage(TimePoint now, const Endpoint& from, NodeId sender, const Message& message);
  void onMemberChanged(const Member& member) override;
  /** Handles a service of this region that is new or changed in the ServiceSource. */
  void onServiceChanged(TimePoint now, ServiceId id);
  /** Handles a service that was deleted or moved to another region. */
  void onServiceDeleted(TimePoint now, ServiceId id);
  /**
   * Marks the configuration as caught up: services that appear afterwards are new in the whole
   * system, so their first owners can rely on the absence of flows.
   */
  void setCaughtUp() { caughtUp_ = true; }
  /** Sets whether the service's policy admits new flows. */
  void setAdmitting(ServiceId id, bool admitting);

  /**
   * Starts leaving: releases shards to any node that requests them. The node's membership state
   * must be kLeaving as well.
   */
  void leave(TimePoint now);
  /** @return whether a leaving node holds no state that a successor still needs. */
  bool handedOver() const;
  /** @return the shards whose state is not handed over yet; empty if handedOver(). */
  std::vector<PendingHandover> pendingHandovers() const;

  /** @return the placement of a service of which this node holds shards, or nullptr. */
  ServicePlacement* placementOf(ServiceId id);
  /** Calls the visitor for every service of which this node holds shards. */
  void forEachPlacement(const std::function<void(ServiceId, ServicePlacement&)>& visitor);
  PlacementExplanation explain(TimePoint now, ServiceId service, FlowHash flow) const;
  std::vector<ShardStats> shardStats(TimePoint now) const;
  uint32_t ownedShards() const;
  const ShardCounters& counters() const { return context_.counters; }
  const ShardMap& shardMap() const { return map_; }

  void onFlowRemoved(uint32_t shardSlot, const FlowEntry& entry, RemovalCause cause) override;

 private:
  LocalShard* find(const ShardId& id) const;
  /** @return the shard, created if the service is known; nullptr otherwise. */
  LocalShard* findOrMake(TimePoint now, const ShardId& id);
  ServiceRuntime* runtimeOf(TimePoint now, ServiceId id);
  FlowDecision applyRelayOption(TimePoint now, const FlowPacket& packet, std::string_view bytes,
                                FlowDecision decision);
  void detectPause(TimePoint now);
  void updateZonePartitionSuspicion(TimePoint now);
  void tickShards(TimePoint now);
  /** Shards share one byte budget: the one with the oldest pending change is served first. */
  void sendReplication(TimePoint now);
  void dropUnusedShards();
  void checkHosts(TimePoint now);
  void shareLoads(TimePoint now);
  void sendToPeerOwners(const LocalShard& shard, const ShardId& id, const LoadShare& share);
  void requestPermits(TimePoint now);

  void handle(TimePoint now, NodeId sender, const TakeoverRequest& request);
  void handle(TimePoint now, NodeId sender, const TakeoverReply& reply);
  void handle(TimePoint now, NodeId sender, const SnapshotChunk& chunk);
  void handle(TimePoint now, NodeId sender, const SnapshotAck& ack);
  void handle(TimePoint now, NodeId sender, const ReplicaAppend& batch);
  void handle(TimePoint now, NodeId sender, const ReplicaAck& ack);
  void handle(TimePoint now, NodeId sender, const OwnershipNotice& notice);
  void handle(TimePoint now, NodeId sender, const LoadShare& share);
  void handle(TimePoint now, NodeId sender, const PermitRequest& request);
  void handle(TimePoint now, NodeId sender, const PermitGrant& grant);

  const ServiceSource& services_;
  FlowTable& flows_;
  ShardMap map_;
  ShardContext context_;
  ExceptionBudget exceptionBudget_;
  LocalTableDirector localTable_;
  uint64_t seed_;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceRuntime>> runtimes_;
  std::unordered_map<ShardId, std::unique_ptr<LocalShard>> shards_;
  std::unordered_set<ServiceId> knownServices_;
  std::unordered_map<ServiceId, TimePoint> serviceCreationTimes_;
  bool caughtUp_ = false;
  TimePoint now_{};
  std::optional<TimePoint> lastTick_;
  TimePoint lastHostCheck_{};
  /** Members that were observed leaving: their absence does not indicate a partition. */
  std::unordered_set<NodeId> departedMembers_;
  struct UnreachableZone {
    TimePoint since;
    size_t members = 0;
  };
  std::unordered_map<ZoneId, UnreachableZone> unreachableZones_;
};

}  // namespace umberhold
