/**
 * @file The complete decision logic of one node: membership, configuration, flows. No I/O.
 *
 * source/exe binds a NodeCore to sockets, a clock and the store; the simulators drive the same
 * class. All input arrives through the on...() calls and all output leaves through NodeOutputs.
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

/** Requests an HTTP probe of a host; the result is delivered through onProbeResult. */
class ProbeOutput {
 public:
  virtual ~ProbeOutput() = default;
  virtual void probe(ServiceId service, HostId host, const Endpoint& httpEndpoint) = 0;
};

/** All outputs of a core. They are borrowed and must outlive the core. */
struct NodeOutputs {
  MessageSink& messages;
  PacketOutput& packets;
  ProbeOutput& probes;
};

/** How flows are placed; the baselines are kept for benchmark comparisons. */
enum class FlowStrategy : uint8_t {
  /** The standard strategy: owners, base table, exceptions, handover. */
  kOwned,
  /** Baseline (a): plain hash over the active hosts, stateless. */
  kPlainHash,
  /** Baseline (b): rendezvous hashing with a flow table on each node only. */
  kLocalTable,
};

/** Per-node settings of a core. */
struct NodeOptions {
  Member self;
  /** Names of self.region and self.zone. */
  std::string regionName;
  std::string zoneName;
  /** Control endpoints of some members of this region. */
  std::vector<Endpoint> seeds;
  FlowStrategy strategy = FlowStrategy::kOwned;
  /** Test switch: decide on the node that receives a packet, without relaying it to the owner. */
  bool ownerRelay = true;
  /** Capacity of the flow table. */
  uint32_t flowCapacity = 500000;
  /** How long a leaving node continues to relay after its handover is complete. */
  Duration linger = std::chrono::seconds(3);
};

/** Counters and gauges of one node, for metrics. */
struct NodeCounters {
  PacketCounters packets;
  MemberCounts members;
  uint64_t records = 0;
  /** Store version up to which every change is effective here. */
  uint64_t effectiveVersion = 0;
  /** Records that could not be decoded; they have no effect. */
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

  /** Starts joining the region. @param unixNow wall time in seconds. */
  void start(TimePoint now, UnixSeconds unixNow);
  /** Runs due work; call about every 10 ms. */
  void onTick(TimePoint now, UnixSeconds unixNow);
  /** Handles an authenticated message. */
  void onMessage(TimePoint now, const Endpoint& from, NodeId sender, const Message& message);
  /** Handles an inner IP packet from the fabric or from another node. */
  void onPacket(TimePoint now, PacketSource source, std::string_view packet);
  /** Applies records that this node read from the store as the elected reader. */
  void onStoreRecords(TimePoint now, const std::vector<ConfigRecord>& records);
  /** Applies the record of a change that this node wrote to the store for an operator. */
  void onAcceptedChange(const ConfigRecord& record);
  /** The elected reader on this node has listed the whole store and passed on all records. */
  void onStoreListed(TimePoint now);
  /** Applies the platform's machine list: seeds of this region, contacts of the other regions. */
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
  uint64_t effectiveVersion() const;
  /** @param observer receives every membership change; borrowed, must outlive the core. */
  void addMembershipObserver(MembershipObserver& observer);
  NodeCounters counters() const;

  // Queries of the admin API; see node/node_status.h.
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
