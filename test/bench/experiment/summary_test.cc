/** @file Tests of the table and the JSON line of an experiment. */
#include "bench/experiment/summary.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <functional>
#include <sstream>

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

using namespace umberhold;
using namespace umberhold::experiment;

namespace {

const SummaryHeader kHeader{"steady", "owned", 7, true};

Poco::JSON::Object::Ptr figuresOf(const ExperimentResult& result) {
  return Poco::JSON::Parser().parse(toJsonLine(kHeader, result)).extract<Poco::JSON::Object::Ptr>();
}

/** @return a result to which `fault` has been applied. */
ExperimentResult resultWith(const std::function<void(ExperimentResult&)>& fault) {
  ExperimentResult result;
  fault(result);
  return result;
}

}  // namespace

TEST_GROUP_BASE(Summary, test::WithoutLeakDetection){};

TEST(Summary, UnmeasuredValuesAreNull) {
  const auto figures = figuresOf(ExperimentResult{});
  for (const char* name :
       {"imbalance", "drain_stop_ms", "config_in_force_ms", "config_reverts", "longest_silence_ms",
        "control_bytes_per_node_s", "control_cpu_percent", "rss_mb_max"}) {
    CHECK_TRUE_TEXT(figures->has(name), name);
    CHECK_TRUE_TEXT(figures->isNull(name), name);
  }
  CHECK_FALSE(figures->getValue<bool>("evidence_complete"));
}

TEST(Summary, JsonLineContainsCountsAndRoundedValues) {
  ExperimentResult result;
  result.verdict.flows = 2100;
  result.verdict.brokenFlows = 3;
  result.verdict.unansweredPackets = 12;
  result.verdict.longestSilenceMillis = 1900;
  result.verdict.balances = {{"dispatch", 15, 900, "dispatch-4", 68},
                             {"docs", 4, 150, "docs-3", 39}};
  result.nodes.controlBytesPerNodeSecond = 395.126;
  result.evidenceComplete = true;
  const auto figures = figuresOf(result);
  LONGS_EQUAL(2100, figures->getValue<int>("flows"));
  LONGS_EQUAL(3, figures->getValue<int>("broken_flows"));
  LONGS_EQUAL(12, figures->getValue<int>("unanswered_packets"));
  LONGS_EQUAL(1900, figures->getValue<int>("longest_silence_ms"));
  DOUBLES_EQUAL(1.13, figures->getValue<double>("imbalance"), 1e-9);
  DOUBLES_EQUAL(1.04, figures->getObject("imbalance_by_service")->getValue<double>("docs"), 1e-9);
  DOUBLES_EQUAL(395.13, figures->getValue<double>("control_bytes_per_node_s"), 1e-9);
  LONGS_EQUAL(7, figures->getValue<int>("seed"));
  CHECK_TRUE(figures->getValue<bool>("evidence_complete"));
}

TEST(Summary, TableAndResultReportEveryBrokenPromise) {
  using Fault = std::function<void(ExperimentResult&)>;
  const std::vector<Fault> faults = {
      [](ExperimentResult& result) { result.verdict.brokenFlowsPlanned = 1; },
      [](ExperimentResult& result) { result.verdict.cutRequestsPlanned = 1; },
      [](ExperimentResult& result) { result.verdict.incompleteAnswersPlanned = 1; },
      [](ExperimentResult& result) { result.verdict.misroutedPackets = 1; },
      [](ExperimentResult& result) { result.verdict.refusedButRun = 1; },
      [](ExperimentResult& result) { result.verdict.duplicateRuns = 1; },
      [](ExperimentResult& result) { result.verdict.drainStopMillis = 5001; },
      [](ExperimentResult& result) { result.nodes.configReverts = 1; },
      [](ExperimentResult& result) { result.lostChanges = 1; },
  };
  for (const Fault& fault : faults) {
    const ExperimentResult result = resultWith(fault);
    CHECK_TRUE(result.promiseBroken());
    std::ostringstream table;
    printTable(table, kHeader, result);
    CHECK_TRUE(table.str().find("BROKEN") != std::string::npos);
  }
}

TEST(Summary, FlowsBrokenByUnplannedEventsBreakNoPromise) {
  const ExperimentResult result = resultWith([](ExperimentResult& faulty) {
    faulty.verdict.brokenFlows = 4;
    faulty.verdict.brokenFlowsOfStoppedHosts = 4;
    faulty.verdict.cutRequests = 2;
    faulty.verdict.drainStopMillis = 2999;
    faulty.nodes.configReverts = 0;
  });
  CHECK_FALSE(result.promiseBroken());
  std::ostringstream table;
  printTable(table, kHeader, result);
  CHECK_TRUE(table.str().find("kept") != std::string::npos);
}

TEST(Summary, TableListsUnexplainedBrokenFlows) {
  const ExperimentResult result = resultWith([](ExperimentResult& faulty) {
    standins::BrokenFlow flow;
    flow.service = "docs";
    flow.host = "docs-1";
    flow.reason = standins::BreakReason::kOtherHost;
    faulty.verdict.plannedBreaks = {flow, flow};
  });
  std::ostringstream table;
  printTable(table, kHeader, result);
  CHECK_TRUE(table.str().find("2 of docs docs-1: answered by another host") != std::string::npos);
}

TEST(Summary, TotalsAreSumsOverCallers) {
  standins::CallerReport totals;
  standins::CallerReport report;
  report.requests = 5;
  report.delayedRequests = 2;
  report.refusedOpenings = 1;
  addCounts(totals, report);
  addCounts(totals, report);
  LONGS_EQUAL(10, totals.requests);
  LONGS_EQUAL(4, totals.delayedRequests);
  LONGS_EQUAL(2, totals.refusedOpenings);
}
