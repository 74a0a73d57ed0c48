/**
 * @file One node's decision logic as a whole: membership, configuration, flows. No I/O.
 *
 * source/exe binds a NodeCore to sockets, a clock and the store; the simulators drive
 * the same class. Everything goes in through the on...() calls and comes out through
 * NodeOutputs.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/config/record.h"
#include "common/flow/flow_director.h"
#include "common/health/probe_result.h"
#include "common/membership/membership_view.h"
#include "common/messages/member.h"
#include "common/node/node_readiness.h"
#include "common/node/node_status.h"
#include "common/packet/packet_output.h"
#include "common/packet/packet_path.h"
#include "common/platform/platform_store.h"
#include "common/policy/policy_engine.h"
#include "common/shard/pending_handover.h"
#include "common/shard/shard_counters.h"
#include "common/wire/message.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Asks the binder to probe a host over HTTP; the answer comes back through onProbeResult. */
class ProbeOutput {
 public:
  virtual ~ProbeOutput() = default;
  virtual void probe(ServiceId service, HostId host, const Endpoint& httpEndpoint) = 0;
};

/** Everything a core can cause. All are borrowed and must outlive the core. */
struct NodeOutputs {
  MessageSink& messages;
  PacketOutput& packets;
  ProbeOutput& probes;
};

/** How flows are placed; the baselines are kept to be measured against. */
enum class FlowStrategy : uint8_t {
  /** The product: owners, base table, exceptions, hand-over. */
  kOwned,
  /** Baseline (a): plain hash over the live hosts, no state. */
  kPlainHash,
  /** Baseline (b): rendezvous, with a flow table on each node only. */
  kLocalTable,
};

/** What distinguishes one core from another. */
struct NodeOptions {
  Member self;
  /** Names behind self.region and self.zone. */
  std::string regionName;
  std::string zoneName;
  /** Control endpoints of some members of this region. */
  std::vector<Endpoint> seeds;
  FlowStrategy strategy = FlowStrategy::kOwned;
  /** Test switch: decide on whichever node a packet reaches, without relaying it to its owner. */
  bool ownerRelay = true;
  /** Flows that the table has room for. */
  uint32_t flowCapacity = 500000;
  /** How long a leaving node goes on relaying after everything is handed over. */
  Duration linger = std::chrono::seconds(3);
};

/** Counters and gauges of one node, for metrics. */
struct NodeCounters {
  PacketCounters packets;
  MemberCounts members;
  uint64_t records = 0;
  /** Store version up to which every change is effective here. */
  uint64_t inForceVersion = 0;
  /** Records that could not be decoded; they stay without effect. */
  uint64_t recordsRejected = 0;
  uint64_t flows = 0;
  uint32_t ownedShards = 0;
  ShardCounters shards;
  std::vector<PolicyHealth> policies;
};

/** One node. Not thread safe. */
class NodeCore {
 public:
  NodeCore(NodeOptions options, NodeOutputs outputs, PolicyEngine& policies, uint64_t seed);
  ~NodeCore();

  /** Starts joining. @param unixNow wall time in seconds. */
  void start(TimePoint now, UnixSeconds unixNow);
  /** Runs what is due; call about every 10 ms. */
  void onTick(TimePoint now, UnixSeconds unixNow);
  /** Takes an authenticated message. */
  void onMessage(TimePoint now, const Endpoint& from, NodeId sender, const Message& message);
  /** Takes an inner IP packet from the fabric or from another node. */
  void onPacket(TimePoint now, PacketSource source, std::string_view packet);
  /** Takes records that this node read from the store as an elected reader. */
  void onStoreRecords(TimePoint now, const std::vector<ConfigRecord>& records);
  /** Takes the record of a change that this node has brought into the store for an operator. */
  void onAcceptedChange(const ConfigRecord& record);
  /** The elected reader on this node has listed the whole store and handed it in. */
  void onStoreListed(TimePoint now);
  /** Takes the platform's machine list: seeds of this region, contacts of the others. */
  void onMachineList(TimePoint now, const std::vector<Machine>& machines);
  void onProbeResult(TimePoint now, const ProbeResult& result);
  /** Starts a planned stop; readiness() is kLeft once everything is handed over. */
  void leave(TimePoint now);

  /** @return the shards that a leaving node still has to hand over. */
  std::vector<PendingHandover> pendingHandovers() const;
  NodeReadiness readiness() const;
  /** @return this node's identity and state. */
  const Member& self() const;
  /** @return the store version up to which every change is effective here. */
  uint64_t inForceVersion() const;
  /** @param observer notified of every change of the members; borrowed, must outlive the core. */
  void addMembershipObserver(MembershipObserver& observer);
  NodeCounters counters() const;

  // Questions of the administration API; see node/node_status.h.
  NodeSummary summary(TimePoint now);
  std::vector<Member> members() const;
  CoverageStatus coverage(TimePoint now, uint64_t version);
  NodeStatusResult<FlowExplanation> explain(TimePoint now, const ExplainQuery& query);
  RecordPage records(uint64_t cursor) const;
  NodeStatusResult<ConfigRecord> record(const RecordKey& key) const;

 private:
  void advanceReadiness(TimePoint now);
  void becomeReady(TimePoint now);
  void finishLeaving(TimePoint now);

  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
