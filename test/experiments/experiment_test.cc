/**
 * @file Short runs of the experiment program with real processes behind the fault-injecting proxy.
 *
 * For each guarantee, one case checks that it holds and another one that it is violated if the
 * mechanism behind it is disabled. The second case fails if the check detects nothing. CMake makes
 * one ctest entry of each case.
 */
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitPromiseBroken = 1;
/** Minimum number of flows in a run: the 2,100 planned ones except those that may still be opening
 * when the scenario begins. */
constexpr uint64_t kMinFlows = 2000;
constexpr uint64_t kMaxDrainStopMillis = 3000;
/** The failure of a node may break fewer than one in this many flows. */
constexpr uint64_t kFlowsPerBrokenFlow = 1000;
/**
 * Maximum ratio of the busiest host's flows to the mean, for 900 flows with a mean life of 8 s on
 * 15 hosts. The ratio is 1.4 to 1.7 if nodes apply health reports that they should ignore. The
 * three shards of fleet have different owners. Two of the three shards of dispatch share an owner,
 * whose exception budget doesn't suffice for both, so the ratio there is partly random (1.23 on
 * average for flows placed without any bound).
 */
constexpr double kMaxFleetImbalance = 1.15;
constexpr double kMaxDispatchImbalance = 1.2;

/** Result of a run of the program. */
struct RunResult {
  int exitStatus = 0;
  Poco::JSON::Object::Ptr figures;

  uint64_t count(const std::string& name) const { return figures->getValue<Poco::UInt64>(name); }
  double imbalanceOf(const std::string& service) const {
    return figures->getObject("imbalance_by_service")->getValue<double>(service);
  }
};

std::string lastLine(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  std::string last;
  while (std::getline(lines, line)) {
    last = line.empty() ? last : line;
  }
  return last;
}

RunResult runExperiment(const std::vector<std::string>& arguments) {
  const char* folder = std::getenv("UMBERHOLD_BIN");
  const std::string program =
      std::string(folder != nullptr ? folder : "source") + "/../bench/experiment";
  Poco::Pipe output;
  const Poco::ProcessHandle process =
      Poco::Process::launch(program, arguments, nullptr, &output, nullptr);
  Poco::PipeInputStream stream(output);
  std::string text;
  Poco::StreamCopier::copyToString(stream, text);
  const int exitStatus = process.wait();
  std::cout << text;  // ctest prints it if the case fails.
  const std::string line = lastLine(text);
  RunResult result{exitStatus, {}};
  if (!line.empty() && line[0] == '{') {
    result.figures = Poco::JSON::Parser().parse(line).extract<Poco::JSON::Object::Ptr>();
  }
  CHECK_FALSE_TEXT(result.figures.isNull(), "the run printed no JSON line with its results");
  CHECK_TRUE(result.count("flows") >= kMinFlows);
  return result;
}

/** Checks that no flow, request or configuration change was lost for any reason. */
void checkNothingLost(const RunResult& result) {
  LONGS_EQUAL(kExitSuccess, result.exitStatus);
  for (const char* name :
       {"broken_flows", "misrouted_packets", "incomplete_answers", "refused_but_run",
        "duplicate_runs", "cut_requests", "config_reverts", "pushes_lost"}) {
    LONGS_EQUAL_TEXT(0, result.count(name), name);
  }
}

/** Checks that all guarantees held although nodes, hosts or zones failed: no planned change broke a
 * flow, no refused request ran and no configuration change was lost. The failures may have broken
 * flows and the requests on them. */
void checkOnlyUnplannedLosses(const RunResult& result) {
  LONGS_EQUAL(kExitSuccess, result.exitStatus);
  for (const char* name : {"broken_flows_planned", "misrouted_packets", "refused_but_run",
                           "duplicate_runs", "config_reverts", "lost_changes"}) {
    LONGS_EQUAL_TEXT(0, result.count(name), name);
  }
}

void checkDrainStopped(const RunResult& result) {
  CHECK_FALSE(result.figures->isNull("drain_stop_ms"));
  CHECK_TRUE(result.count("drain_stop_ms") <= kMaxDrainStopMillis);
}

void checkPlannedChangeBrokeFlows(const RunResult& result) {
  LONGS_EQUAL(kExitPromiseBroken, result.exitStatus);
  CHECK_TRUE(result.count("broken_flows_planned") > 0);
}

}  // namespace

TEST_GROUP_BASE(Experiment, test::WithoutLeakDetection){};

TEST(Experiment, DemoKeepsEveryPromise) {
  const RunResult result = runExperiment({"demo", "--seconds", "12"});
  checkNothingLost(result);
  checkDrainStopped(result);
}

TEST(Experiment, HostChangesBreakNothing) {
  const RunResult result = runExperiment({"host-changes", "--seconds", "12"});
  checkNothingLost(result);
  checkDrainStopped(result);
}

TEST(Experiment, HostChangesBreakFlowsWithoutTheRelayToOwners) {
  checkPlannedChangeBrokeFlows(
      runExperiment({"host-changes", "--seconds", "12", "--owner-relay", "off"}));
}

TEST(Experiment, HostChangesBreakFlowsOfAPlainHash) {
  checkPlannedChangeBrokeFlows(
      runExperiment({"host-changes", "--seconds", "12", "--strategy", "plain-hash"}));
}

TEST(Experiment, HostChangesBreakFlowsOfLocalTables) {
  checkPlannedChangeBrokeFlows(
      runExperiment({"host-changes", "--seconds", "12", "--strategy", "local-table"}));
}

TEST(Experiment, RollingRestartBreaksNothing) {
  const RunResult result = runExperiment({"rolling-restart", "--seconds", "25"});
  checkNothingLost(result);
  checkDrainStopped(result);
}

TEST(Experiment, RollingRestartBreaksFlowsOfLocalTables) {
  checkPlannedChangeBrokeFlows(
      runExperiment({"rolling-restart", "--seconds", "20", "--strategy", "local-table"}));
}

TEST(Experiment, DrainingHostsGetNoNewFlows) {
  const RunResult result = runExperiment({"backend-drain", "--seconds", "15"});
  checkNothingLost(result);
  checkDrainStopped(result);
}

TEST(Experiment, DrainBreaksFlowsOfAPlainHash) {
  checkPlannedChangeBrokeFlows(
      runExperiment({"backend-drain", "--seconds", "12", "--strategy", "plain-hash"}));
}

TEST(Experiment, DeathOfANodeBreaksNoPlannedChange) {
  const RunResult result = runExperiment({"node-kill", "--seconds", "15"});
  LONGS_EQUAL(kExitSuccess, result.exitStatus);
  checkDrainStopped(result);
}

TEST(Experiment, DeathOfANodeWhileAHostDrainsBreaksFlowsOfLocalTables) {
  checkPlannedChangeBrokeFlows(
      runExperiment({"node-kill", "--seconds", "12", "--strategy", "local-table"}));
}

TEST(Experiment, RacingOperatorsLoseNoChange) {
  checkNothingLost(runExperiment({"config-race", "--seconds", "10"}));
}

TEST(Experiment, OverwritingOperatorsLoseChanges) {
  const RunResult result =
      runExperiment({"config-race", "--seconds", "10", "--operators", "overwriting"});
  LONGS_EQUAL(kExitPromiseBroken, result.exitStatus);
  CHECK_TRUE(result.count("lost_changes") > 0);
}

TEST(Experiment, LostAnswersLoseNoChange) {
  checkNothingLost(runExperiment({"lost-answer", "--seconds", "10"}));
}

TEST(Experiment, OutageOfTheStoreBreaksNothing) {
  checkNothingLost(runExperiment({"store-outage", "--seconds", "15"}));
}

TEST(Experiment, PausedReaderKeepsTheConfigurationInForce) {
  const RunResult result = runExperiment({"paused-reader", "--seconds", "15"});
  LONGS_EQUAL(kExitSuccess, result.exitStatus);
  LONGS_EQUAL(0, result.count("config_reverts"));
  LONGS_EQUAL(0, result.count("lost_changes"));
}

TEST(Experiment, KeyRotationBreaksNothingAndNoDatagramIsRefused) {
  const RunResult result = runExperiment({"key-rotation", "--seconds", "15"});
  checkNothingLost(result);
  LONGS_EQUAL(0, result.count("keys_not_taken"));
  LONGS_EQUAL(0, result.count("lost_changes"));
  const auto refused = result.figures->getObject("refused_datagrams");
  CHECK_TRUE(refused->has("unknown_key"));
  for (const std::string& reason : refused->getNames()) {
    LONGS_EQUAL_TEXT(0, refused->getValue<Poco::UInt64>(reason), reason.c_str());
  }
}

/** No node and no host fails, so only the reports of hosts about themselves could break a flow. */
TEST(Experiment, MisleadingHealthNeitherStopsAServiceNorFillsOneHost) {
  const RunResult result = runExperiment({"misleading-health", "--seconds", "30"});
  checkNothingLost(result);
  CHECK_TRUE(result.imbalanceOf("dispatch") <= kMaxDispatchImbalance);
  CHECK_TRUE(result.imbalanceOf("fleet") <= kMaxFleetImbalance);
}

/** No process fails when a zone is cut off, so no flow may break while it is cut off or rejoins. */
TEST(Experiment, ACutZoneBreaksNothing) {
  const RunResult result = runExperiment({"zone-cut", "--seconds", "25"});
  checkNothingLost(result);
  checkDrainStopped(result);
}

/** Two hosts stop, which may break only their own flows. */
TEST(Experiment, ColdStartBreaksOnlyFlowsOfHostsThatStopped) {
  const RunResult result = runExperiment({"cold-start", "--seconds", "25"});
  checkOnlyUnplannedLosses(result);
  LONGS_EQUAL(result.count("broken_flows_stopped_hosts"), result.count("broken_flows"));
  CHECK_TRUE(result.count("broken_flows_stopped_hosts") > 0);
}

/** One of twelve nodes fails. The zone cut, the restart and the drains must not break flows. */
TEST(Experiment, CombinedFailuresBreakLessThanADeathMay) {
  const RunResult result = runExperiment({"combined", "--seconds", "30"});
  checkOnlyUnplannedLosses(result);
  checkDrainStopped(result);
  CHECK_TRUE(result.count("broken_flows") * kFlowsPerBrokenFlow < result.count("flows"));
}

}  // namespace umberhold
