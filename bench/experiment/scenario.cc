#include "scenario.h"

#include <algorithm>
#include <array>
#include <thread>

namespace umberhold::experiment {
namespace {

constexpr uint32_t kShortFlowLifeMillis = 8000;
constexpr size_t kDrainedHost = 3;
constexpr int kRaceChanges = 15;
/** Share of a run after which no further node is replaced. */
constexpr double kLastRestart = 0.8;
constexpr uint32_t kColdMillis = 5000;
/** Static weights that a release sets in turn; the usual one is 100. */
constexpr std::array<uint32_t, 3> kReleaseWeights = {50, 200, 100};

/** Nodes by their place in the plan: 0 to 5 are of the first region, 6 to 11 of the second. */
NodePlan nodeAt(ExperimentRun& run, size_t place) {
  return run.environment().nodes().at(place);
}

void steady(ExperimentRun& run) {
  run.measureConfigInForce();
}

void demo(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.25);
  run.drainHost("dispatch", kDrainedHost);
  run.sleepUntil(0.4);
  run.restartNode(nodeAt(run, 1));
}

/** One step of a release of hosts: some weigh more or less, one drains, a new one joins cold. */
void changeHosts(ExperimentRun& run, size_t step) {
  const uint32_t weight = kReleaseWeights.at(step % kReleaseWeights.size());
  for (const char* service : {"dispatch", "fleet"}) {
    run.weighHost(service, 1, weight);
    run.weighHost(service, 2, weight);
    if (step == 1) {
      run.drainHost(service, kDrainedHost);
    }
    if (step == 2) {
      run.addHost(service, kColdMillis);
    }
  }
  if (step == 1) {
    run.drainHost("mapstore", 0);
    run.drainHost("docs", 0);
  }
}

/** A release: nodes are replaced one by one while hosts change. */
void rollingRestart(ExperimentRun& run) {
  run.measureConfigInForce();
  size_t step = 0;
  for (const NodePlan& node : run.environment().nodes()) {
    if (run.passed(kLastRestart)) {
      return;  // A short run replaces as many as fit.
    }
    changeHosts(run, step++);
    run.restartNode(node);
  }
}

/** Hosts change weight, drain and join; the nodes stay. */
void hostChanges(ExperimentRun& run) {
  constexpr size_t kSteps = 6;
  run.measureConfigInForce();
  for (size_t step = 0; step < kSteps; ++step) {
    run.sleepUntil(0.1 + 0.1 * static_cast<double>(step));
    changeHosts(run, step);
  }
}

void nodeKill(ExperimentRun& run) {
  run.measureConfigInForce();
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
  run.measureConfigInForce();
  run.sleepUntil(0.2);
  run.drainHost("dispatch", kDrainedHost);
  run.drainHost("fleet", kDrainedHost);
  run.drainHost("docs", 0);
}

/** Two hosts fail and come back slow at first; two new ones join, cold as well. */
void coldStart(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.2);
  run.stopHost("dispatch", 0);
  run.stopHost("fleet", 0);
  run.sleepUntil(0.35);
  for (const char* service : {"dispatch", "fleet", "docs"}) {
    run.addHost(service, kColdMillis);
  }
  run.sleepUntil(0.5);
  const std::string start = "action=start&cold_ms=" + std::to_string(kColdMillis);
  run.steerHost("dispatch", 0, start);
  run.steerHost("fleet", 0, start);
}

void zoneCut(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.1);
  run.drainHost("dispatch", kDrainedHost);
  run.drainHost("fleet", kDrainedHost);
  run.sleepUntil(0.25);
  run.cutZone("bole");
  run.cutZone("hobart-1");
  run.cutFromPlatform("bole");
  run.sleepUntil(0.6);
  run.healZones();
}

/** Sets what the health endpoints of more than half of each large service's hosts say. */
void sayHealthy(ExperimentRun& run, bool healthy) {
  const std::string action = std::string("action=health&healthy=") + (healthy ? "1" : "0");
  for (const char* service : {"dispatch", "fleet"}) {
    for (size_t host = 1; host < 9; ++host) {
      run.steerHost(service, host, action);
    }
  }
}

void misleadingHealth(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.2);
  run.steerHost("dispatch", 0, "action=load&percent=0");
  run.steerHost("fleet", 0, "action=load&percent=0");
  sayHealthy(run, false);
  run.sleepUntil(0.6);
  sayHealthy(run, true);
}

void combined(ExperimentRun& run) {
  run.measureConfigInForce();
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

/** What the calls of one operator of a race returned. */
struct RaceLedger {
  size_t host = 0;
  uint32_t firstWeight = 0;
  uint32_t accepted = 0;
  uint32_t unknown = 0;
  uint64_t newestVersion = 0;
};

/** Raises the weight of one host again and again. */
void raiseWeights(ExperimentRun& run, const std::string& author, RaceLedger& ledger) {
  for (int change = 0; change < kRaceChanges; ++change) {
    const auto changed = run.changeService("dispatch", author, [&ledger](Service& service) {
      service.hosts.at(ledger.host).weight += 1;
    });
    if (isOk(changed)) {
      ++ledger.accepted;
      ledger.newestVersion = std::max(ledger.newestVersion, valueOf(changed));
    } else if (errorOf(changed) == ChangeFailure::kUnknown) {
      ++ledger.unknown;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

/** Every accepted change must be in the object, and no refused one. */
void checkLedger(ExperimentRun& run, const Service& service, const RaceLedger& ledger) {
  const uint32_t raised = service.hosts.at(ledger.host).weight - ledger.firstWeight;
  if (raised < ledger.accepted || raised > ledger.accepted + ledger.unknown) {
    run.countLostChange();
  }
}

/** Two operators change one object through different nodes. */
void race(ExperimentRun& run) {
  const auto before = run.operators().readService("dispatch");
  if (!before) {
    run.countLostChange();
    return;
  }
  RaceLedger first{0, before->hosts.at(0).weight, 0, 0, 0};
  RaceLedger second{1, before->hosts.at(1).weight, 0, 0, 0};
  std::thread one([&] { raiseWeights(run, "operator-a", first); });
  std::thread other([&] { raiseWeights(run, "operator-b", second); });
  one.join();
  other.join();
  const bool inForce =
      run.waitInForce(std::max(first.newestVersion, second.newestVersion)).has_value();
  const auto after = run.operators().readService("dispatch");
  if (!inForce || !after) {
    run.countLostChange();
    return;
  }
  checkLedger(run, *after, first);
  checkLedger(run, *after, second);
}

void configRace(ExperimentRun& run) {
  run.measureConfigInForce();
  race(run);
}

void lostAnswer(ExperimentRun& run) {
  run.platformFaults(R"({"lose_answers_probability": 0.3, "late_by_ms": 700})");
  run.measureConfigInForce();
  race(run);
  run.platformFaults(R"({"late_changes_next": 2})");
  run.measureConfigInForce();
  run.platformFaults(R"({"lose_answers_probability": 0})");
  run.measureConfigInForce();
}

void storeOutage(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.15);
  run.platformFaults(R"({"outage": "unavailable"})");
  run.sleepUntil(0.3);
  run.restartNode(nodeAt(run, 0));
  run.sleepUntil(0.7);
  run.platformFaults(R"({"outage": "none"})");
  run.measureConfigInForce();
}

void pausedReader(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.1);
  const std::array<NodePlan, 2> paused = {nodeAt(run, 0), nodeAt(run, 6)};
  for (const NodePlan& node : paused) {
    run.pauseNode(node);
  }
  run.sleepUntil(0.2);
  run.measureConfigInForce();
  run.sleepUntil(0.6);
  for (const NodePlan& node : paused) {
    run.resumeNode(node);
  }
  run.measureConfigInForce();
}

/** Add the new key, let it sign, remove the old one; then the system must still converge. */
void keyRotation(ExperimentRun& run) {
  run.measureConfigInForce();
  run.sleepUntil(0.1);
  run.changeKeys({{1, 2}, 1});
  run.sleepUntil(0.35);
  run.changeKeys({{1, 2}, 2});
  run.sleepUntil(0.6);
  run.changeKeys({{2}, 2});
  run.sleepUntil(0.85);
  run.measureConfigInForce();
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"demo", "a drain and a planned restart under 2,100 flows", 15, 0, demo},
      {"steady", "no change but one of the configuration", 20, 0, steady},
      {"rolling-restart", "every node is replaced while hosts change weight, drain and join", 120,
       0, rollingRestart},
      {"host-changes", "hosts change weight, drain and join", 20, 0, hostChanges},
      {"node-kill", "hosts drain, then a node of each region dies without warning and returns", 30,
       0, nodeKill},
      {"backend-drain", "hosts drain while flows come and go", 25, kShortFlowLifeMillis,
       backendDrain},
      {"cold-start", "hosts fail and come back cold, new ones join cold", 30, kShortFlowLifeMillis,
       coldStart},
      {"zone-cut", "hosts drain, then one zone of each region is cut off and healed", 30, 0,
       zoneCut},
      {"misleading-health", "hosts lie about load and health", 25, kShortFlowLifeMillis,
       misleadingHealth},
      {"combined", "drain, restart, kill and cut together", 40, 0, combined},
      {"config-race", "two operators change one service at once", 15, 0, configRace},
      {"lost-answer", "the store's answers to changes are lost", 20, 0, lostAnswer},
      {"store-outage", "the store is down while a node restarts", 30, 0, storeOutage},
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
