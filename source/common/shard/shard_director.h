/**
 * @file The product's FlowDirector: shards with owners, replicas and hand-over.
 *
 * Routes packets and messages to the LocalShards of this node, keeps the ShardMap up to date and
 * runs what is due. See docs/DESIGN.md, "Ownership: shards".
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
  /** Sets itself as the observer of the flow table. */
  ShardDirector(const ShardDirectorOptions& options, const ShardDirectorParts& parts,
                uint64_t seed);
  ~ShardDirector() override;

  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;
  /** Runs what is due, the flow table's sweep included; call about every 10 ms. */
  void tick(TimePoint now, UnixSeconds unixNow);
  /**
   * Takes a message of messages/shard_messages.h; @return false for any other kind.
   * @param from control endpoint of the sender, which this node's view may not hold yet.
   */
  bool onMessage(TimePoint now, const Endpoint& from, NodeId sender, const Message& message);
  void onMemberChanged(const Member& member) override;
  /** A service of this region is new or changed in the ServiceSource. */
  void onServiceChanged(TimePoint now, ServiceId id);
  /** A service was deleted or moved to another region. */
  void onServiceDeleted(TimePoint now, ServiceId id);
  /**
   * The node has caught up with the configuration: services that appear from now on are new in the
   * whole system, so that their first owners know that no flow exists yet.
   */
  void setCaughtUp() { caughtUp_ = true; }
  /** What the service's policy said about new flows. */
  void setAdmitting(ServiceId id, bool admitting);

  /** The node is leaving: gives shards to whoever asks. Its membership state must say so, too. */
  void leave(TimePoint now);
  /** @return whether a leaving node holds nothing that a successor still needs. */
  bool handedOver() const;
  /** @return the shards for which handedOver() says no. */
  std::vector<HeldShard> heldShards() const;

  /** @return the placement of a service that this node has shards of, or nullptr. */
  ServicePlacement* placementOf(ServiceId id);
  /** Calls the visitor for every service that this node has shards of. */
  void forEachPlacement(const std::function<void(ServiceId, ServicePlacement&)>& visitor);
  PlacementExplanation explain(TimePoint now, ServiceId service, FlowHash flow) const;
  std::vector<ShardStats> shardStats(TimePoint now) const;
  uint32_t ownedShards() const;
  const ShardCounters& counters() const { return context_.counters; }
  const ShardMap& shardMap() const { return map_; }

  void onFlowRemoved(uint32_t shardSlot, const FlowEntry& entry, RemovalCause cause) override;

 private:
  LocalShard* find(const ShardId& id) const;
  /** @return the shard, made where the service is known; nullptr otherwise. */
  LocalShard* findOrMake(TimePoint now, const ShardId& id);
  ServiceRuntime* runtimeOf(TimePoint now, ServiceId id);
  FlowDecision decideElsewhere(TimePoint now, const FlowPacket& packet, std::string_view bytes,
                               FlowDecision decision);
  void noticePause(TimePoint now);
  void suspectZoneCuts(TimePoint now);
  void tickShards(TimePoint now);
  /** Shards share one byte budget: the one that waits longest goes first. */
  void sendReplication(TimePoint now);
  void dropIdleShards();
  void checkHosts(TimePoint now);
  void shareLoads(TimePoint now);
  void sendToOthersOf(const LocalShard& shard, const ShardId& id, const LoadShare& share);
  void requestPermits(TimePoint now);

  void take(TimePoint now, NodeId sender, const TakeoverRequest& request);
  void take(TimePoint now, NodeId sender, const TakeoverReply& reply);
  void take(TimePoint now, NodeId sender, const SnapshotChunk& chunk);
  void take(TimePoint now, NodeId sender, const SnapshotAck& ack);
  void take(TimePoint now, NodeId sender, const ReplicaAppend& batch);
  void take(TimePoint now, NodeId sender, const ReplicaAck& ack);
  void take(TimePoint now, NodeId sender, const OwnershipNotice& notice);
  void take(TimePoint now, NodeId sender, const LoadShare& share);
  void take(TimePoint now, NodeId sender, const PermitRequest& request);
  void take(TimePoint now, NodeId sender, const PermitGrant& grant);

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
  std::unordered_map<ServiceId, TimePoint> bornServices_;
  bool caughtUp_ = false;
  TimePoint now_{};
  std::optional<TimePoint> lastTick_;
  TimePoint lastHostCheck_{};
  /** Members that were seen leaving: their silence is no sign of a cut. */
  std::unordered_set<NodeId> left_;
  struct SilentZone {
    TimePoint since;
    size_t members = 0;
  };
  std::unordered_map<ZoneId, SilentZone> silentZones_;
};

}  // namespace umberhold
