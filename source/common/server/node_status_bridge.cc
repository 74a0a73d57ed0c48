/** @file Queries to the core, one closure each. */
#include "common/server/node_status_bridge.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include "common/server/event_loop.h"

namespace umberhold {
namespace {

NodeStatusError busy() {
  return {NodeStatusErrorCode::kBusy, "the node's loop did not answer"};
}

/** Runs a query that returns a plain value. */
template <class Value>
NodeStatusResult<Value> runOnLoop(LoopMailbox& mailbox, std::function<Value()> closure) {
  auto answer = mailbox.call<Value>(kLoopCallTimeout, std::move(closure));
  if (!isOk(answer)) {
    return busy();
  }
  return std::move(valueOf(answer));
}

/** Runs a query that may fail by itself. */
template <class Value>
NodeStatusResult<Value> runFallibleOnLoop(LoopMailbox& mailbox,
                                          std::function<NodeStatusResult<Value>()> closure) {
  auto answer = mailbox.call<NodeStatusResult<Value>>(kLoopCallTimeout, std::move(closure));
  if (!isOk(answer)) {
    return busy();
  }
  return std::move(valueOf(answer));
}

/**
 * Maximum number of queries for coverage sums. The sums come from the region's root, which a node
 * queries only while there is demand for them, so the first answer without recent demand contains
 * none yet.
 */
constexpr int kMaxCoverageAttempts = 6;
constexpr auto kCoverageRetryDelay = std::chrono::milliseconds(250);

/** Repeats the query on the calling thread until the answer contains sums or kMaxCoverageAttempts
 * is reached. */
template <class Value, class Query>
NodeStatusResult<Value> queryCoverage(const Query& query, uint32_t (*nodes)(const Value&)) {
  auto answer = query();
  for (int attempts = 1;
       attempts < kMaxCoverageAttempts && isOk(answer) && nodes(valueOf(answer)) == 0; ++attempts) {
    std::this_thread::sleep_for(kCoverageRetryDelay);
    answer = query();
  }
  return answer;
}

}  // namespace

NodeStatusResult<NodeSummary> NodeStatusBridge::summary() {
  return queryCoverage<NodeSummary>(
      [this] {
        return runOnLoop<NodeSummary>(mailbox_, [this] { return core_.summary(steadyNow()); });
      },
      [](const NodeSummary& summary) { return summary.coverage.nodes; });
}

NodeStatusResult<std::vector<Member>> NodeStatusBridge::members() {
  auto members = runOnLoop<std::vector<Member>>(mailbox_, [this] { return core_.members(); });
  if (isOk(members)) {
    std::sort(valueOf(members).begin(), valueOf(members).end(),
              [](const Member& left, const Member& right) { return left.id < right.id; });
  }
  return members;
}

NodeStatusResult<CoverageStatus> NodeStatusBridge::coverage(uint64_t version) {
  return queryCoverage<CoverageStatus>(
      [this, version] {
        return runOnLoop<CoverageStatus>(
            mailbox_, [this, version] { return core_.coverage(steadyNow(), version); });
      },
      [](const CoverageStatus& coverage) { return coverage.nodes; });
}

NodeStatusResult<FlowExplanation> NodeStatusBridge::explain(const ExplainQuery& query) {
  return runFallibleOnLoop<FlowExplanation>(
      mailbox_, [this, query] { return core_.explain(steadyNow(), query); });
}

NodeStatusResult<RecordPage> NodeStatusBridge::records(uint64_t cursor) {
  return runOnLoop<RecordPage>(mailbox_, [this, cursor] { return core_.records(cursor); });
}

NodeStatusResult<ConfigRecord> NodeStatusBridge::record(const RecordKey& key) {
  return runFallibleOnLoop<ConfigRecord>(mailbox_, [this, key] { return core_.record(key); });
}

}  // namespace umberhold
