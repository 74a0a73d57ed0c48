/** @file From what a run left behind to its figures and their limits. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bench/scale/scale_run.h"

namespace umberhold::scale {

/** Limits of a node at the design size (docs/CAPACITY.md). */
struct ScaleLimits {
  double controlBytesPerSecond = 3072;
  double inForceMillis = 3000;
  double controlCpuPercent = 3.6;
  double residentMegabytes = 32;
};

/** Percentiles of a set of measurements; nothing where there were none. */
struct Spread {
  std::optional<double> median;
  std::optional<double> percentile99;
  std::optional<double> highest;
  size_t count = 0;
};

/** Bytes that the nodes sent, a node and second. */
struct ByteFigures {
  std::optional<double> sent;
  std::optional<double> received;
  std::optional<double> probes;
  /** Highest of any node in any 10 s. */
  std::optional<double> highest;
  std::map<std::string, double> byClass;
  /** What the highest was made of. */
  std::map<std::string, double> highestByClass;
};

/** All figures of a run; nothing where not measured. */
struct ScaleFigures {
  ByteFigures steady;
  ByteFigures wholeRun;
  std::optional<double> controlCpuPercent;
  std::optional<double> processCpuPercent;
  std::optional<double> flowsPerNode;
  std::optional<double> newFlowsPerNodeSecond;
  std::optional<double> shardsPerNode;
  std::optional<double> residentMegabytesPerNode;
  /** Until every change up to it is known to be effective on the slowest node; outside the cut. */
  Spread inForce;
  /** Until the slowest node had the changed record itself; outside the cut. */
  Spread applied;
  /** The same for changes during the cut, from the heal. */
  Spread inForceAfterHeal;
  /** Changes that never came into force, or were not applied, on some node. */
  size_t neverInForce = 0;
  size_t neverApplied = 0;
  Spread inForceOnRealNodes;
  size_t reverts = 0;
  Spread detection;
  /** Pairs of victim and observer that should have noticed and did not. */
  size_t undetected = 0;
  /** Nodes wrongly held for dead, from the end of the join on, and before. */
  size_t falsePositives = 0;
  size_t falsePositivesWhileJoining = 0;
  Spread readyAfterStart;
  std::optional<double> storeReaders;
  std::optional<double> storeRequestsPerSecond;
  std::optional<double> candidates;
  Spread longestLoopGap;
  std::optional<double> machineLoad;
  /** Commands that did not reach a process: the run is void. */
  size_t lostCommands = 0;
};

ScaleFigures figuresOf(const ScalePlan& plan, const RunRecord& run);
/** @return what broke a limit, one line each. */
std::vector<std::string> brokenLimits(const ScaleFigures& figures, const RunRecord& run);
/** @return the run's last line. */
std::string toJsonLine(const ScalePlan& plan, const ScaleOptions& options, const RunRecord& run,
                       const ScaleFigures& figures);

}  // namespace umberhold::scale
