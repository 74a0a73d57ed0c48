/**
 * @file What the admin API asks of the node it runs in.
 *
 * The calls come from HTTP threads and may block for a short time; the node answers them from its
 * loop thread. Nothing here changes anything.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/base/strong_id.h"
#include "common/config/record.h"
#include "common/messages/member.h"
#include "common/node/node_readiness.h"
#include "common/policy/policy_engine.h"

namespace umberhold {

/** Why the node gave no answer. */
enum class NodeStatusErrorCode : uint8_t {
  /** The node's loop did not come round to the question in time. */
  kBusy,
  /** The question names a service, host or member that the node does not know. */
  kUnknown,
  /** The node can't answer this kind of question (for example, another region's flows). */
  kUnsupported,
};

/** A question that was not answered. */
struct NodeStatusError {
  NodeStatusErrorCode code = NodeStatusErrorCode::kBusy;
  std::string detail;
};

template <class Value>
using NodeStatusResult = Result<Value, NodeStatusError>;

/** Members of the region by state. */
struct MemberCounts {
  uint32_t joining = 0;
  uint32_t alive = 0;
  uint32_t suspect = 0;
  uint32_t leaving = 0;
  uint32_t dead = 0;
};

/** On how many nodes of the whole system a version of the configuration is effective. */
struct CoverageStatus {
  uint64_t version = 0;
  uint32_t nodes = 0;
  uint32_t nodesAtVersion = 0;
  /** The node that is furthest behind, and the version up to which it holds everything. */
  NodeId slowest;
  uint64_t slowestVersion = 0;
};

/** How one policy fares on this node; only policies of services with shards here are run. */
struct PolicyHealth {
  std::string policy;
  /** Evaluations that failed since the policy's newest version arrived. */
  uint64_t failures = 0;
  /** Why it did not compile, or the last failed evaluation; the last good weights stay effective.
   */
  std::optional<PolicyError> lastError;
};

/** The node at a glance. */
struct NodeSummary {
  NodeId node;
  std::string region;
  std::string zone;
  NodeReadiness readiness = NodeReadiness::kJoining;
  MemberCounts members;
  /** Highest resource version among the effective records of this node. */
  uint64_t configVersion = 0;
  uint32_t services = 0;
  uint32_t policies = 0;
  /** Flows in this node's table. */
  uint64_t flows = 0;
  /** Shards that this node owns. */
  uint32_t ownedShards = 0;
  CoverageStatus coverage;
  std::vector<PolicyHealth> policyHealth;
};

/** A part of the records that are effective on the node, tombstones left out. */
struct RecordPage {
  std::vector<ConfigRecord> records;
  /** Cursor of the next page; nothing where this was the last one. */
  std::optional<uint64_t> next;
};

/** Which flow the operator asks about. */
struct ExplainQuery {
  std::string service;
  Endpoint caller;
};

/** What is known of the flow on the node that was asked. */
enum class FlowKnowledge : uint8_t {
  /** The flow is in the table: its host is the one it has. */
  kEstablished,
  /** The flow is not in the table: the host is the one that a new flow would get. */
  kWouldPlace,
  /** The flow is not in the table, and a new flow would be refused. */
  kWouldRefuse,
  /** Another node owns the flow; ask there. The host is what this node can tell, if anything. */
  kOwnedElsewhere,
};

/** One host, as placement sees it for the flow. */
struct HostExplanation {
  std::string name;
  std::string zone;
  /** Operator's static weight. */
  uint32_t staticWeight = 0;
  /** What the policy returned; nothing where it could not be evaluated. */
  std::optional<double> policyWeight;
  /** Quantised weight in the base table, 0 to 255. */
  uint8_t baseWeight = 0;
  /** Blended load, 0.0 idle to 1.0 full. */
  double load = 0.0;
  uint32_t flows = 0;
  uint32_t connectionLimit = 0;
  bool healthy = false;
  bool draining = false;
  /** Whether a new flow may go there now. */
  bool admissible = false;
  /** Place in the flow's rendezvous order, from 0; hosts are tried in this order. */
  uint32_t rank = 0;
};

/** Where a flow goes, and why. */
struct FlowExplanation {
  FlowKnowledge knowledge = FlowKnowledge::kWouldPlace;
  FlowHash flow;
  uint16_t shard = 0;
  /** Node that owns the shard, as the answering node sees it; nothing where none is known. */
  std::optional<NodeId> owner;
  uint32_t epoch = 0;
  /** Name of the chosen host; empty where there is none. */
  std::string host;
  /** The flow is not where the base table would place it. */
  bool exception = false;
  /** Bound that the load of a host must stay under, in flows; 0 where none applies. */
  double loadBound = 0.0;
  std::string policy;
  /** Whether the policy's admit() takes new flows; nothing where it could not be evaluated. */
  std::optional<bool> policyAdmits;
  std::vector<HostExplanation> hosts;
};

/** The node's own answers. Thread safe. */
class NodeStatus {
 public:
  virtual ~NodeStatus() = default;

  virtual NodeStatusResult<NodeSummary> summary() = 0;
  /** @return the members of the node's region, sorted by id. */
  virtual NodeStatusResult<std::vector<Member>> members() = 0;
  /** @return how far the version is effective over the whole system, as this node last heard. */
  virtual NodeStatusResult<CoverageStatus> coverage(uint64_t version) = 0;
  virtual NodeStatusResult<FlowExplanation> explain(const ExplainQuery& query) = 0;
  /**
   * Reads the effective records, in pages so small that one does not hold up the node's loop.
   * @param cursor 0 for the first page, then RecordPage::next.
   */
  virtual NodeStatusResult<RecordPage> records(uint64_t cursor) = 0;
  /** @return the record of one object, or kUnknown. */
  virtual NodeStatusResult<ConfigRecord> record(const RecordKey& key) = 0;
};

}  // namespace umberhold
