/** @file Runs the admin API's status queries on the loop thread. */
#pragma once

#include "common/node/node_core.h"
#include "common/node/node_status.h"
#include "common/server/loop_mailbox.h"

namespace umberhold {

/** Timeout of a query that waits for the loop. */
constexpr Duration kLoopCallTimeout = std::chrono::milliseconds(500);

/** Queries the core through the mailbox. Thread safe, but must not be called on the loop thread. */
class NodeStatusBridge : public NodeStatus {
 public:
  /** Both arguments are borrowed. */
  NodeStatusBridge(LoopMailbox& mailbox, NodeCore& core) : mailbox_(mailbox), core_(core) {}

  NodeStatusResult<NodeSummary> summary() override;
  NodeStatusResult<std::vector<Member>> members() override;
  NodeStatusResult<CoverageStatus> coverage(uint64_t version) override;
  NodeStatusResult<FlowExplanation> explain(const ExplainQuery& query) override;
  NodeStatusResult<RecordPage> records(uint64_t cursor) override;
  NodeStatusResult<ConfigRecord> record(const RecordKey& key) override;

 private:
  LoopMailbox& mailbox_;
  NodeCore& core_;
};

}  // namespace umberhold
