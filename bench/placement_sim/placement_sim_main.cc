/** @file Compares placement strategies by imbalance, exceptions and bytes sent. Results:
 * docs/MEASUREMENTS.md. */
#include <tclap/CmdLine.h>

#include <cstdio>

#include "bench/placement_sim/simulation.h"

using namespace umberhold;
using namespace umberhold::placement_sim;

namespace {

/** New flows per second that one node is designed for. */
constexpr double kDesignRate = 88.0;

struct Scenario {
  const char* name;
  Workload workload;
};

Workload slowChurn(double flows) {
  return {flows, 600.0, 1.0, 0.0, 1800.0, 1200.0, 1.0};
}

/** Three owners whose nodes receive new flows of this service only, at the design rate. */
Workload designChurn(double flows) {
  const double life = flows / (3.0 * kDesignRate);
  return {flows, life, 1.0, 0.0, 10.0 * life + 100.0, 300.0, 0.1};
}

Workload risingRate(double flows) {
  return {flows, 600.0, 3.0, 0.0, 1800.0, 1200.0, 1.0};
}

Workload burst(double flows) {
  return {flows, 600.0, 1.0, 3000.0, 1800.0, 10.0, 0.1};
}

void printRow(const Strategy& strategy, const char* sharing, const SimResult& result) {
  std::printf("| %-19s | %-8s | %.3f | %.3f | %5.1f%% | %4.0f | %5.0f | %3.0f |\n",
              strategy.name.c_str(), sharing, result.meanImbalance, result.maxImbalance,
              result.exceptionFraction * 100.0, result.replicationBytes, result.maxReplicationBytes,
              result.loadShareBytes);
}

void printScenario(const Scenario& scenario, SimOptions options, bool productOnly) {
  std::printf("\n%s, %.0f flows, mean life %.0f s, LoadShare every %.1f s\n\n", scenario.name,
              scenario.workload.flows, scenario.workload.meanLife, options.shareInterval);
  std::printf(
      "| strategy            | shared   | mean  | worst | except. | B/s  | worst | share |\n");
  std::printf(
      "|---------------------|----------|-------|-------|---------|------|-------|-------|\n");
  const double interval = options.shareInterval;
  std::vector<Strategy> strategies = allStrategies();
  if (productOnly) {
    strategies.erase(strategies.begin(), strategies.end() - 1);
  }
  for (Strategy strategy : strategies) {
    strategy.aging = ShareAging::kIgnoreOthers;
    options.shareInterval = 0.0;
    printRow(strategy, "none", simulate(strategy, scenario.workload, options));
    if (strategy.rule == PlacementRule::kPlainRendezvous) {
      continue;
    }
    options.shareInterval = interval;
    strategy.aging = ShareAging::kNone;
    printRow(strategy, "as sent", simulate(strategy, scenario.workload, options));
    strategy.aging = ShareAging::kMeanLife;
    printRow(strategy, "aged", simulate(strategy, scenario.workload, options));
  }
}

/** Prints the effect of load reports from other owners, by interval, on the production strategy. */
void printIntervals(const Scenario& scenario, SimOptions options) {
  std::printf("\n%s, %.0f flows, mean life %.0f s, adaptive bound\n\n", scenario.name,
              scenario.workload.flows, scenario.workload.meanLife);
  std::printf("| share every | aging   | mean  | worst | except. | B/s  | share |\n");
  std::printf("|-------------|---------|-------|-------|---------|------|-------|\n");
  Strategy strategy = allStrategies().back();
  for (const double interval : {0.0, 1.0, 5.0, 10.0, 20.0, 60.0}) {
    for (const ShareAging aging : {ShareAging::kMeanLife, ShareAging::kNone}) {
      strategy.aging = aging;
      options.shareInterval = interval;
      const SimResult result = simulate(strategy, scenario.workload, options);
      std::printf("| %9.0f s | %-7s | %.3f | %.3f | %6.1f%% | %4.0f | %5.0f |\n", interval,
                  aging == ShareAging::kNone ? "as sent" : "aged", result.meanImbalance,
                  result.maxImbalance, result.exceptionFraction * 100.0, result.replicationBytes,
                  result.loadShareBytes);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Compares placement strategies", ' ', "1");
  TCLAP::ValueArg<double> interval("", "share-interval", "seconds between LoadShares", false, 10.0,
                                   "seconds", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of every run", false, 1, "number", command);
  TCLAP::ValueArg<uint64_t> runs("", "runs", "runs of every row, with consecutive seeds", false, 3,
                                 "number", command);
  TCLAP::SwitchArg product("", "product", "only the rows of the production strategy", command);
  command.parse(argc, argv);
  SimOptions options;
  options.shareInterval = interval.getValue();
  options.seed = seed.getValue();
  options.runs = runs.getValue();
  for (const double flows : {600.0, 3000.0}) {
    printIntervals({"slow churn", slowChurn(flows)}, options);
    printIntervals({"design rate", designChurn(flows)}, options);
  }
  for (const double flows : {600.0, 3000.0, 15000.0}) {
    printScenario({"slow churn", slowChurn(flows)}, options, product.getValue());
    printScenario({"design rate (88 new flows/s an owner)", designChurn(flows)}, options,
                  product.getValue());
    printScenario({"rush hour (rate x 3 over 1200 s)", risingRate(flows)}, options,
                  product.getValue());
  }
  printScenario({"burst of 3,000 new flows/s", burst(3000.0)}, options, product.getValue());
  return 0;
}
