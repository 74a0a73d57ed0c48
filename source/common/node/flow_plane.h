/**
 * @file The flow-handling part of a node core: director, flow table, policies and probes.
 *
 * Selects the director according to the options and passes members, services and messages to it.
 */
#pragma once

#include <memory>
#include <string>

#include "common/catalog/service_catalog.h"
#include "common/flow/flow_director.h"
#include "common/flow/flow_table.h"
#include "common/membership/membership_view.h"
#include "common/node/node_core.h"
#include "common/node/node_status.h"
#include "common/node/policy_runner.h"
#include "common/shard/baseline_director.h"
#include "common/shard/shard_director.h"

namespace umberhold {

/** See the file comment. Not thread safe. */
class FlowPlane : public CatalogObserver, public MembershipObserver, private HeldPacketSink {
 public:
  /** All references are borrowed and must outlive this object. */
  FlowPlane(const NodeOptions& options, const NodeOutputs& outputs, const MembershipView& view,
            ServiceCatalog& catalog, PolicyEngine& policies, RandomSource& random);

  /** @return the director that decides on packets. */
  FlowDirector& director();
  /** @param sink receives packets that were held during a takeover. */
  void setHeldPacketSink(HeldPacketSink& sink) { heldPackets_ = &sink; }

  void start(TimePoint now, UnixSeconds unixNow);
  void tick(TimePoint now, UnixSeconds unixNow);
  /** Marks the configuration as caught up: services that appear afterwards are new. */
  void setCaughtUp();
  void leave(TimePoint now);
  bool handedOver() const;
  std::vector<PendingHandover> pendingHandovers() const;
  void onProbeResult(TimePoint now, const ProbeResult& result);
  /** Handles a message of messages/shard_messages.h. */
  void onMessage(TimePoint now, const Endpoint& from, NodeId sender, const Message& message);

  uint64_t flowCount() const { return flows_.stats().flows; }
  uint32_t ownedShards() const { return shards_.ownedShards(); }
  const ShardDirector& shards() const { return shards_; }
  const FlowTable& flows() const { return flows_; }
  std::vector<PolicyHealth> policyHealth() const { return policies_.health(); }
  NodeStatusResult<FlowExplanation> explain(TimePoint now, const ExplainQuery& query);

  // CatalogObserver
  void onServiceChanged(ServiceId id, const Service& service) override;
  void onServiceDeleted(ServiceId id) override;
  void onPolicyChanged(const Policy& policy) override;
  void onPolicyDeleted(const std::string& name) override;
  // MembershipObserver
  void onMemberChanged(const Member& member) override;

 private:
  // HeldPacketSink
  void release(TimePoint now, std::string bytes, PacketSource source) override;

  void sendProbes(TimePoint now);
  void explainHosts(TimePoint now, const Service& service, const PlacementExplanation& placement,
                    ServicePlacement& state, FlowExplanation& explanation);

  FlowStrategy strategy_;
  ProbeOutput& probes_;
  ServiceCatalog& catalog_;
  FlowTable flows_;
  ShardDirector shards_;
  PlainHashDirector plainHash_;
  LocalTableDirector localTable_;
  PolicyRunner policies_;
  HeldPacketSink* heldPackets_ = nullptr;
  TimePoint now_{};
  TimePoint nextProbes_{};
};

}  // namespace umberhold
