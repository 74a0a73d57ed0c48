/** @file A NodeStatus with results set by the test. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/node/node_status.h"
#include "common/wire/codec.h"

namespace umberhold {

/** Returns two records per page to exercise paging. */
class FakeNodeStatus : public NodeStatus {
 public:
  std::vector<ConfigRecord> effectiveRecords;
  CoverageStatus coverageNow;
  NodeReadiness readiness = NodeReadiness::kReady;
  NodeId id{3};
  /** Knowledge and owner in every FlowExplanation. */
  FlowKnowledge knowledge = FlowKnowledge::kWouldPlace;
  std::optional<NodeId> owner;
  /** Whether summary() and records() fail with kBusy. */
  bool busy = false;

  void addService(const Service& service, uint64_t version) {
    effectiveRecords.push_back(
        {{ObjectKind::kService, service.name}, version, false, valueOf(encodeService(service))});
  }

  NodeStatusResult<NodeSummary> summary() override {
    if (busy) {
      return busyError();
    }
    NodeSummary summary;
    summary.node = id;
    summary.region = "addis";
    summary.readiness = readiness;
    summary.members.alive = 6;
    summary.coverage = coverageNow;
    return summary;
  }
  NodeStatusResult<std::vector<Member>> members() override {
    Member member;
    member.id = NodeId{3};
    return std::vector<Member>{member};
  }
  NodeStatusResult<CoverageStatus> coverage(uint64_t version) override {
    CoverageStatus status = coverageNow;
    status.version = version;
    return status;
  }
  NodeStatusResult<FlowExplanation> explain(const ExplainQuery& query) override {
    if (query.service != "dispatch") {
      return NodeStatusError{NodeStatusErrorCode::kUnknown, "no such service"};
    }
    FlowExplanation explanation;
    explanation.knowledge = knowledge;
    explanation.owner = owner;
    explanation.host = "dispatch-1";
    explanation.hosts.resize(1);
    return explanation;
  }
  NodeStatusResult<RecordPage> records(uint64_t cursor) override {
    constexpr size_t kPageSize = 2;
    if (busy) {
      return busyError();
    }
    RecordPage page;
    for (size_t index = cursor; index < effectiveRecords.size() && index < cursor + kPageSize;
         ++index) {
      page.records.push_back(effectiveRecords[index]);
    }
    if (cursor + kPageSize < effectiveRecords.size()) {
      page.next = cursor + kPageSize;
    }
    return page;
  }
  NodeStatusResult<ConfigRecord> record(const RecordKey& key) override {
    for (const ConfigRecord& candidate : effectiveRecords) {
      if (candidate.key == key) {
        return candidate;
      }
    }
    return NodeStatusError{NodeStatusErrorCode::kUnknown, "no such object"};
  }

 private:
  static NodeStatusError busyError() { return {NodeStatusErrorCode::kBusy, "busy"}; }
};

}  // namespace umberhold
