/**
 * @file Status queries of the admin API to its node.
 *
 * The calls are made from HTTP threads and may block for a short time; the node answers them on its
 * loop thread. All of them are read-only.
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

/** Why a query failed. */
enum class NodeStatusErrorCode : uint8_t {
  /** The node's loop did not process the query in time. */
  kBusy,
  /** The query refers to a service, host or member that is unknown to the node. */
  kUnknown,
  /** The node cannot answer this kind of query (for example, for another region's flows). */
  kUnsupported,
};

/** A failed query. */
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

/** Number of nodes in the whole system on which a configuration version is effective. */
struct CoverageStatus {
  uint64_t version = 0;
  uint32_t nodes = 0;
  uint32_t nodesAtVersion = 0;
  /** The node that is furthest behind, and the version up to which it has all changes. */
  NodeId slowest;
  uint64_t slowestVersion = 0;
};

/** Status of one policy on this node; only policies of services with shards here are run. */
struct PolicyHealth {
  std::string policy;
  /** Evaluations that failed since the policy's newest version arrived. */
  uint64_t failures = 0;
  /** The compilation error or the last failed evaluation; the last valid weights stay effective. */
  std::optional<PolicyError> lastError;
};

/** Summary of a node's state. */
struct NodeSummary {
  NodeId node;
  std::string region;
  std::string zone;
  NodeReadiness readiness = NodeReadiness::kJoining;
  MemberCounts members;
  /** Store version up to which every change is effective on this node. */
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

/** One page of the records that are effective on the node, without tombstones. */
struct RecordPage {
  std::vector<ConfigRecord> records;
  /** Cursor of the next page; nothing on the last page. */
  std::optional<uint64_t> next;
};

/** The flow to explain. */
struct ExplainQuery {
  std::string service;
  Endpoint caller;
};

/** State of the flow on the queried node. */
enum class FlowKnowledge : uint8_t {
  /** The flow is in the table; `host` is its host. */
  kEstablished,
  /** The flow is not in the table; `host` is the one that a new flow would get. */
  kWouldPlace,
  /** The flow is not in the table, and a new flow would be refused. */
  kWouldRefuse,
  /**
   * Another node owns the flow and must be queried instead. `host` is filled in only if this node
   * can determine it.
   */
  kOwnedElsewhere,
};

/** One host and its placement attributes for the flow. */
struct HostExplanation {
  std::string name;
  std::string zone;
  /** Static weight set by the operator. */
  uint32_t staticWeight = 0;
  /** Result of the policy's weigh(); nothing if it could not be evaluated. */
  std::optional<double> policyWeight;
  /** Quantised weight in the base table, 0 to 255. */
  uint8_t baseWeight = 0;
  /** Blended load, from 0.0 (idle) to 1.0 (full). */
  double load = 0.0;
  uint32_t flows = 0;
  uint32_t connectionLimit = 0;
  bool healthy = false;
  bool draining = false;
  /** Whether the host currently accepts new flows. */
  bool admissible = false;
  /** Position in the flow's rendezvous order, from 0; hosts are tried in this order. */
  uint32_t rank = 0;
};

/** The placement of a flow and its reasons. */
struct FlowExplanation {
  FlowKnowledge knowledge = FlowKnowledge::kWouldPlace;
  FlowHash flow;
  uint16_t shard = 0;
  /** Owner of the shard according to the queried node; nothing if unknown. */
  std::optional<NodeId> owner;
  uint32_t epoch = 0;
  /** Name of the selected host; empty if there is none. */
  std::string host;
  /** The flow's host differs from its base table entry. */
  bool exception = false;
  /** Exclusive upper bound of a host's load, in flows; 0 if none applies. */
  double loadBound = 0.0;
  std::string policy;
  /** Whether the policy's admit() accepts new flows; nothing if it could not be evaluated. */
  std::optional<bool> policyAdmits;
  std::vector<HostExplanation> hosts;
};

/** Status queries to the local node. Thread safe. */
class NodeStatus {
 public:
  virtual ~NodeStatus() = default;

  virtual NodeStatusResult<NodeSummary> summary() = 0;
  /** @return the members of the node's region, sorted by id. */
  virtual NodeStatusResult<std::vector<Member>> members() = 0;
  /**
   * @return how far the version is effective in the whole system, according to the latest reports
   * received by this node.
   */
  virtual NodeStatusResult<CoverageStatus> coverage(uint64_t version) = 0;
  virtual NodeStatusResult<FlowExplanation> explain(const ExplainQuery& query) = 0;
  /**
   * Reads the effective records in pages that are small enough not to block the node's loop. @param
   * cursor 0 for the first page, then RecordPage::next.
   */
  virtual NodeStatusResult<RecordPage> records(uint64_t cursor) = 0;
  /** @return the record of one object, or kUnknown. */
  virtual NodeStatusResult<ConfigRecord> record(const RecordKey& key) = 0;
};

}  // namespace umberhold
