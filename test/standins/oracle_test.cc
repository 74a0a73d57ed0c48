/** @file Tests that the oracle detects each kind of violation in constructed records. */
#include "standins/oracle/oracle.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace umberhold::standins;

namespace {

constexpr UnixMillis kStart = 1000;
const Endpoint kCaller{0x0A000001, 40000};

HostRecord hostWithRuns(const std::string& name, const std::vector<uint64_t>& ids) {
  HostRecord record;
  record.service = "dispatch";
  record.host = name;
  for (const uint64_t id : ids) {
    record.runs.push_back(RunRecord{id, {}, kStart, kStart + 1});
  }
  return record;
}

/** @return a report with a flow that broke with a request in progress. */
CallerReport reportWithFlowBrokenOn(const std::string& host, UnixMillis openedAt, UnixMillis at) {
  CallerReport report;
  report.broken.push_back(BrokenFlow{at, BreakReason::kReset, "dispatch", host, kCaller, openedAt});
  report.cut.push_back(CutRequest{at, 1, "dispatch", host, false, kCaller, openedAt});
  return report;
}

RunEvidence evidenceWith(const CallerReport& report) {
  RunEvidence evidence;
  evidence.callers.push_back(report);
  return evidence;
}

}  // namespace

TEST_GROUP(Oracle){};

TEST(Oracle, CleanRunViolatesNoGuarantee) {
  CallerReport report;
  report.singleRunIds = {1};
  RunEvidence evidence = evidenceWith(report);
  evidence.hosts.push_back(hostWithRuns("dispatch-0", {1}));
  CHECK_FALSE(judge(evidence).promiseBroken());
}

TEST(Oracle, CountsBrokenFlowAsPlannedWithoutUnplannedEvent) {
  CallerReport report;
  report.broken.push_back(BrokenFlow{kStart, BreakReason::kReset, "dispatch", "dispatch-0", {}, 1});
  RunEvidence evidence = evidenceWith(report);
  LONGS_EQUAL(1, judge(evidence).brokenFlowsPlanned);
  CHECK(judge(evidence).promiseBroken());
  evidence.unplanned.push_back(UnplannedEvent{kStart - 10, kStart - 1});
  evidence.unplanned.push_back(UnplannedEvent{kStart + 1, kStart + 10});
  LONGS_EQUAL(1, judge(evidence).brokenFlowsPlanned);
  evidence.unplanned.push_back(UnplannedEvent{kStart - 10, kStart + 10});
  LONGS_EQUAL(0, judge(evidence).brokenFlowsPlanned);
  LONGS_EQUAL(1, judge(evidence).brokenFlows);
}

TEST(Oracle, AttributesOpenFlowOfStoppedHostToTheStopAtAnyLaterTime) {
  RunEvidence evidence = evidenceWith(reportWithFlowBrokenOn("dispatch-0", kStart, kStart + 60000));
  evidence.hostStops.push_back(HostStop{kStart + 1, "dispatch-0"});
  const Verdict verdict = judge(evidence);
  LONGS_EQUAL(1, verdict.brokenFlows);
  LONGS_EQUAL(1, verdict.brokenFlowsOfStoppedHosts);
  LONGS_EQUAL(0, verdict.brokenFlowsPlanned);
  LONGS_EQUAL(0, verdict.cutRequestsPlanned);
  CHECK_FALSE(verdict.promiseBroken());
}

TEST(Oracle, StoppedHostAccountsOnlyForItsOpenFlows) {
  const HostStop stop{kStart + 5, "dispatch-0"};
  const std::vector<CallerReport> reports = {
      reportWithFlowBrokenOn("dispatch-1", kStart, kStart + 10),      // Another host's flow.
      reportWithFlowBrokenOn("dispatch-0", kStart + 6, kStart + 10),  // Opened after the stop.
      reportWithFlowBrokenOn("dispatch-0", kStart, kStart + 4),       // Broke before the stop.
      reportWithFlowBrokenOn("", kStart, kStart + 10),                // Unknown host.
  };
  for (const CallerReport& report : reports) {
    RunEvidence evidence = evidenceWith(report);
    evidence.hostStops.push_back(stop);
    const Verdict verdict = judge(evidence);
    LONGS_EQUAL(1, verdict.brokenFlowsPlanned);
    LONGS_EQUAL(1, verdict.cutRequestsPlanned);
    LONGS_EQUAL(0, verdict.brokenFlowsOfStoppedHosts);
    CHECK(verdict.promiseBroken());
  }
}

TEST(Oracle, AttributesUnansweredFlowToTheStopOnlyIfTheHostRecordedIt) {
  RunEvidence evidence = evidenceWith(reportWithFlowBrokenOn("", kStart, kStart + 10));
  evidence.hosts.push_back(hostWithRuns("dispatch-0", {}));
  evidence.hosts[0].lostFlows = {LostFlow{{kCaller.address, 1}, kStart + 5},
                                 LostFlow{kCaller, kStart - 1}, LostFlow{kCaller, kStart + 11}};
  evidence.hostStops.push_back(HostStop{kStart + 5, "dispatch-0"});
  LONGS_EQUAL(1, judge(evidence).brokenFlowsPlanned);
  evidence.hosts[0].lostFlows.push_back(LostFlow{kCaller, kStart + 5});
  LONGS_EQUAL(0, judge(evidence).brokenFlowsPlanned);
  LONGS_EQUAL(0, judge(evidence).cutRequestsPlanned);
  LONGS_EQUAL(1, judge(evidence).brokenFlowsOfStoppedHosts);
  evidence.hostStops[0].host = "dispatch-1";
  LONGS_EQUAL(1, judge(evidence).brokenFlowsPlanned);
}

TEST(Oracle, StopOfADrainingHostAccountsForNoFlow) {
  RunEvidence evidence = evidenceWith(reportWithFlowBrokenOn("dispatch-0", kStart, kStart + 10));
  evidence.hostStops.push_back(HostStop{kStart + 5, "dispatch-0"});
  evidence.drains.push_back(DrainEvent{kStart + 6, "dispatch-0"});
  LONGS_EQUAL(0, judge(evidence).brokenFlowsPlanned);
  evidence.drains.push_back(DrainEvent{kStart + 4, "dispatch-0"});
  LONGS_EQUAL(1, judge(evidence).brokenFlowsPlanned);
  LONGS_EQUAL(1, judge(evidence).cutRequestsPlanned);
}

TEST(Oracle, DetectsRefusedRequestThatRan) {
  CallerReport report;
  report.refusedIds = {7};
  RunEvidence evidence = evidenceWith(report);
  evidence.hosts.push_back(hostWithRuns("dispatch-0", {7}));
  LONGS_EQUAL(1, judge(evidence).refusedButRun);
  CHECK(judge(evidence).promiseBroken());
}

TEST(Oracle, DetectsSecondRunOnAnotherHost) {
  CallerReport report;
  report.singleRunIds = {7};
  RunEvidence evidence = evidenceWith(report);
  evidence.hosts.push_back(hostWithRuns("dispatch-0", {7}));
  evidence.hosts.push_back(hostWithRuns("dispatch-1", {7, 8, 8}));
  LONGS_EQUAL(1, judge(evidence).duplicateRuns);
  CHECK(judge(evidence).promiseBroken());
}

TEST(Oracle, DetectsCutAndIncompleteAnswers) {
  CallerReport report;
  report.outstandingRequests = 2;
  report.cut.push_back(CutRequest{kStart, 9, "dispatch", "dispatch-0", true, kCaller, 1});
  const Verdict verdict = judge(evidenceWith(report));
  LONGS_EQUAL(3, verdict.incompleteAnswers);
  LONGS_EQUAL(1, verdict.cutRequests);
  CHECK(verdict.promiseBroken());
}

TEST(Oracle, DetectsMisroutedPacket) {
  RunEvidence evidence;
  evidence.hosts.push_back(hostWithRuns("dispatch-0", {}));
  evidence.hosts[0].counters.misroutedPackets = 3;
  LONGS_EQUAL(3, judge(evidence).misroutedPackets);
  CHECK(judge(evidence).promiseBroken());
}

TEST(Oracle, ImbalanceIsTheMaximumOverServicesWithoutUnsettledHosts) {
  RunEvidence evidence;
  evidence.hosts = {hostWithRuns("dispatch-0", {}), hostWithRuns("dispatch-1", {}),
                    hostWithRuns("dispatch-2", {})};
  CallerReport firstReport;
  firstReport.openFlowsByHost = {{"dispatch-0", 20}, {"mapstore-1", 7}};
  CallerReport secondReport;
  secondReport.openFlowsByHost = {{"dispatch-0", 10}, {"dispatch-1", 10}};
  evidence.callers = {firstReport, secondReport};
  CHECK_FALSE(judge(RunEvidence{}).imbalance().has_value());
  DOUBLES_EQUAL(2.25, *judge(evidence).imbalance(), 1e-9);
  evidence.unsettledHosts = {"dispatch-2"};
  DOUBLES_EQUAL(1.5, *judge(evidence).imbalance(), 1e-9);
  evidence.hosts.push_back(hostWithRuns("mapstore-0", {}));
  evidence.hosts.push_back(hostWithRuns("mapstore-1", {}));
  evidence.hosts[3].service = evidence.hosts[4].service = "mapstore";
  const Verdict verdict = judge(evidence);
  DOUBLES_EQUAL(2.0, *verdict.imbalance(), 1e-9);
  LONGS_EQUAL(2, verdict.balances.size());
  STRCMP_EQUAL("mapstore-1", verdict.balances[1].busiestHost.c_str());
  LONGS_EQUAL(2, verdict.balances[0].hosts);
  LONGS_EQUAL(40, verdict.balances[0].flows);
}

TEST(Oracle, SlowDrainViolatesAGuarantee) {
  RunEvidence evidence;
  evidence.hosts.push_back(hostWithRuns("dispatch-0", {}));
  evidence.drains.push_back(DrainEvent{kStart, "dispatch-0"});
  LONGS_EQUAL(0, *judge(evidence).drainStopMillis);
  evidence.hosts[0].counters.lastOpenedAt = kStart + kDrainStopLimitMillis + 1;
  CHECK(judge(evidence).promiseBroken());
}

TEST(Oracle, RecordsRoundTripThroughJson) {
  CallerReport report;
  report.answers = 5;
  report.refusedIds = {uint64_t{1} << 51};
  report.openFlowsByHost = {{"dispatch-0", 3}};
  report.broken.push_back(
      BrokenFlow{kStart, BreakReason::kSilence, "dispatch", "h", {}, kStart - 5});
  const auto read = reportFromJson(toJson(report));
  CHECK(isOk(read));
  LONGS_EQUAL(5, valueOf(read).answers);
  CHECK(valueOf(read).refusedIds == report.refusedIds);
  CHECK(valueOf(read).openFlowsByHost == report.openFlowsByHost);
  CHECK(valueOf(read).broken[0].reason == BreakReason::kSilence);
  LONGS_EQUAL(kStart - 5, valueOf(read).broken[0].openedAt);
  HostRecord record = hostWithRuns("h", {1, 2});
  record.lostFlows = {LostFlow{kCaller, kStart}};
  const auto hosts = recordsFromJson(toJson(std::vector{record}));
  CHECK(isOk(hosts));
  CHECK(valueOf(hosts)[0].lostFlows[0].caller == kCaller);
  LONGS_EQUAL(kStart, valueOf(hosts)[0].lostFlows[0].at);
  LONGS_EQUAL(2, valueOf(hosts)[0].runs.size());
  CHECK_FALSE(isOk(recordsFromJson("[{}]")));
  CHECK_FALSE(isOk(reportFromJson("{")));
}
