#include "scenario.h"

#include <algorithm>
#include <array>
#include <thread>

namespace umberhold::experiment {
namespace {

constexpr uint32_t kShortFlowLifeMillis = 8000;
constexpr size_t kDrainedHost = 3;
constexpr int kChangesPerOperator = 15;
/** Part of the run, from 0 to 1, after which no further node is restarted. */
constexpr double kLastRestartPart = 0.8;
constexpr uint32_t kColdStartMillis = 5000;
/** Static host weights that the steps of a release set in turn; the default is 100. */
constexpr std::array<uint32_t, 3> kReleaseWeights = {50, 200, 100};

/** @param index position in the plan: 0 to 5 are in the first region, 6 to 11 in the second. */
NodePlan nodeAt(ExperimentRun& run, size_t index) {
  return run.environment().nodes().at(index);
}

void steady(ExperimentRun& run) {
  run.measureConfigPropagation();
}

void demo(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.25);
  run.drainHost("dispatch", kDrainedHost);
  run.sleepUntil(0.4);
  run.restartNode(nodeAt(run, 1));
}

/** Performs one step of a release: changes the weights of hosts, and in some steps drains hosts or
 * adds new ones that start cold. */
void changeHosts(ExperimentRun& run, size_t step) {
  const uint32_t weight = kReleaseWeights.at(step % kReleaseWeights.size());
  for (const char* service : {"dispatch", "fleet"}) {
    run.setHostWeight(service, 1, weight);
    run.setHostWeight(service, 2, weight);
    if (step == 1) {
      run.drainHost(service, kDrainedHost);
    }
    if (step == 2) {
      run.addHost(service, kColdStartMillis);
    }
  }
  if (step == 1) {
    run.drainHost("mapstore", 0);
    run.drainHost("docs", 0);
  }
}

/** Simulates a release: restarts the nodes one by one while hosts change. */
void rollingRestart(ExperimentRun& run) {
  run.measureConfigPropagation();
  size_t step = 0;
  for (const NodePlan& node : run.environment().nodes()) {
    if (run.hasPassed(kLastRestartPart)) {
      return;  // A short run restarts only some of the nodes.
    }
    changeHosts(run, step++);
    run.restartNode(node);
  }
}

/** Changes weights, drains hosts and adds hosts without restarting nodes. */
void hostChanges(ExperimentRun& run) {
  constexpr size_t kSteps = 6;
  run.measureConfigPropagation();
  for (size_t step = 0; step < kSteps; ++step) {
    run.sleepUntil(0.1 + 0.1 * static_cast<double>(step));
    changeHosts(run, step);
  }
}

void nodeKill(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.1);
  run.drainHost("dispatch", kDrainedHost);
  run.drainHost("fleet", kDrainedHost);
  run.sleepUntil(0.3);
  run.killNode(nodeAt(run, 1));
  run.killNode(nodeAt(run, 7));
  run.sleepUntil(0.6);
  run.startNode(nodeAt(run, 1));
  run.startNode(nodeAt(run, 7));
}

void backendDrain(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.2);
  run.drainHost("dispatch", kDrainedHost);
  run.drainHost("fleet", kDrainedHost);
  run.drainHost("docs", 0);
}

/** Two hosts fail and later restart cold; three new ones join, also cold. */
void coldStart(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.2);
  run.stopHost("dispatch", 0);
  run.stopHost("fleet", 0);
  run.sleepUntil(0.35);
  for (const char* service : {"dispatch", "fleet", "docs"}) {
    run.addHost(service, kColdStartMillis);
  }
  run.sleepUntil(0.5);
  const std::string start = "action=start&cold_ms=" + std::to_string(kColdStartMillis);
  run.controlHost("dispatch", 0, start);
  run.controlHost("fleet", 0, start);
}

void zoneCut(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.1);
  run.drainHost("dispatch", kDrainedHost);
  run.drainHost("fleet", kDrainedHost);
  run.sleepUntil(0.25);
  run.cutZone("bole");
  run.cutZone("hobart-1");
  run.cutZoneFromPlatform("bole");
  run.sleepUntil(0.6);
  run.healZones();
}

/** Sets the state that health endpoints report for more than half of the hosts of each large
 * service. */
void setReportedHealth(ExperimentRun& run, bool healthy) {
  const std::string action = std::string("action=health&healthy=") + (healthy ? "1" : "0");
  for (const char* service : {"dispatch", "fleet"}) {
    for (size_t host = 1; host < 9; ++host) {
      run.controlHost(service, host, action);
    }
  }
}

void misleadingHealth(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.2);
  run.controlHost("dispatch", 0, "action=load&percent=0");
  run.controlHost("fleet", 0, "action=load&percent=0");
  setReportedHealth(run, false);
  run.sleepUntil(0.6);
  setReportedHealth(run, true);
}

void combined(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.1);
  run.drainHost("dispatch", kDrainedHost);
  run.restartNode(nodeAt(run, 0));
  run.drainHost("fleet", kDrainedHost);
  run.sleepUntil(0.4);
  run.killNode(nodeAt(run, 2));
  run.cutZone("hobart-1");
  run.sleepUntil(0.7);
  run.healZones();
  run.startNode(nodeAt(run, 2));
}

/** Weight increments of one operator, by the result of the calls. */
struct WeightChanges {
  size_t host = 0;
  uint32_t firstWeight = 0;
  uint32_t accepted = 0;
  uint32_t unknown = 0;
  uint64_t newestVersion = 0;
};

/** Increments the weight of one host repeatedly. */
void incrementWeight(ExperimentRun& run, const std::string& author, WeightChanges& changes) {
  for (int change = 0; change < kChangesPerOperator; ++change) {
    const auto changed = run.changeService("dispatch", author, [&changes](Service& service) {
      service.hosts.at(changes.host).weight += 1;
    });
    if (isOk(changed)) {
      ++changes.accepted;
      changes.newestVersion = std::max(changes.newestVersion, valueOf(changed));
    } else if (errorOf(changed) == ChangeFailure::kUnknown) {
      ++changes.unknown;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

/** Checks that the stored service contains every accepted change and no refused one. Changes with
 * an unknown outcome may be stored or not. */
void checkWeightChanges(ExperimentRun& run, const Service& service, const WeightChanges& changes) {
  const uint32_t raised = service.hosts.at(changes.host).weight - changes.firstWeight;
  if (raised < changes.accepted || raised > changes.accepted + changes.unknown) {
    run.countLostChange();
  }
}

/** Two operators change the same service concurrently through different nodes. */
void changeWeightsConcurrently(ExperimentRun& run) {
  const auto before = run.operators().readService("dispatch");
  if (!before) {
    run.countLostChange();
    return;
  }
  WeightChanges first{0, before->hosts.at(0).weight, 0, 0, 0};
  WeightChanges second{1, before->hosts.at(1).weight, 0, 0, 0};
  std::thread firstOperator([&] { incrementWeight(run, "operator-a", first); });
  std::thread secondOperator([&] { incrementWeight(run, "operator-b", second); });
  firstOperator.join();
  secondOperator.join();
  const bool isEffective =
      run.waitUntilEffective(std::max(first.newestVersion, second.newestVersion)).has_value();
  const auto after = run.operators().readService("dispatch");
  if (!isEffective || !after) {
    run.countLostChange();
    return;
  }
  checkWeightChanges(run, *after, first);
  checkWeightChanges(run, *after, second);
}

void configRace(ExperimentRun& run) {
  run.measureConfigPropagation();
  changeWeightsConcurrently(run);
}

void lostAnswer(ExperimentRun& run) {
  run.setPlatformFaults(R"({"lose_answers_probability": 0.3, "late_by_ms": 700})");
  run.measureConfigPropagation();
  changeWeightsConcurrently(run);
  run.setPlatformFaults(R"({"late_changes_next": 2})");
  run.measureConfigPropagation();
  run.setPlatformFaults(R"({"lose_answers_probability": 0})");
  run.measureConfigPropagation();
}

void storeOutage(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.15);
  run.setPlatformFaults(R"({"outage": "unavailable"})");
  run.sleepUntil(0.3);
  run.restartNode(nodeAt(run, 0));
  run.sleepUntil(0.7);
  run.setPlatformFaults(R"({"outage": "none"})");
  run.measureConfigPropagation();
}

void pausedReader(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.1);
  const std::array<NodePlan, 2> paused = {nodeAt(run, 0), nodeAt(run, 6)};
  for (const NodePlan& node : paused) {
    run.pauseNode(node);
  }
  run.sleepUntil(0.2);
  run.measureConfigPropagation();
  run.sleepUntil(0.6);
  for (const NodePlan& node : paused) {
    run.resumeNode(node);
  }
  run.measureConfigPropagation();
}

/** Adds a new key, signs with it and removes the old one; then a configuration change must still
 * reach all nodes. */
void keyRotation(ExperimentRun& run) {
  run.measureConfigPropagation();
  run.sleepUntil(0.1);
  run.changeKeys({{1, 2}, 1});
  run.sleepUntil(0.35);
  run.changeKeys({{1, 2}, 2});
  run.sleepUntil(0.6);
  run.changeKeys({{2}, 2});
  run.sleepUntil(0.85);
  run.measureConfigPropagation();
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"demo", "a drain and a planned restart with 2,100 open flows", 15, 0, demo},
      {"steady", "one configuration change and no other events", 20, 0, steady},
      {"rolling-restart", "every node is restarted while hosts change weight, drain and join", 120,
       0, rollingRestart},
      {"host-changes", "hosts change weight, drain and join", 20, 0, hostChanges},
      {"node-kill", "hosts drain, then a node of each region is killed and later restarted", 30, 0,
       nodeKill},
      {"backend-drain", "hosts drain while short flows open and close", 25, kShortFlowLifeMillis,
       backendDrain},
      {"cold-start", "hosts fail and restart cold, new ones join cold", 30, kShortFlowLifeMillis,
       coldStart},
      {"zone-cut", "hosts drain, then one zone of each region is cut off and reconnected", 30, 0,
       zoneCut},
      {"misleading-health", "hosts report false load and health", 25, kShortFlowLifeMillis,
       misleadingHealth},
      {"combined", "drain, restart, kill and zone cut in one run", 40, 0, combined},
      {"config-race", "two operators change one service concurrently", 15, 0, configRace},
      {"lost-answer", "responses of the store to changes are lost", 20, 0, lostAnswer},
      {"store-outage", "the store is unavailable while a node restarts", 30, 0, storeOutage},
      {"paused-reader", "nodes are paused while the configuration changes", 30, 0, pausedReader},
      {"key-rotation", "the key of node messages is rotated on running nodes", 25, 0, keyRotation},
  };
  return kScenarios;
}

const Scenario* findScenario(const std::string& name) {
  for (const Scenario& scenario : scenarios()) {
    if (scenario.name == name) {
      return &scenario;
    }
  }
  return nullptr;
}

}  // namespace umberhold::experiment
