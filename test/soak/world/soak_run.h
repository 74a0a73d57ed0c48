/** @file One soak: the system, its world, faults, a calm end, and the judgement. */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/base/result.h"
#include "test/soak/world/fault_plan.h"
#include "test/soak/world/node_evidence.h"
#include "test/soak/world/node_processes.h"
#include "test/soak/world/sabotage.h"
#include "test/soak/world/soak_world.h"

namespace umberhold::soak {

struct SoakOptions {
  uint64_t seed = 1;
  /** Of the traffic; the last part of it is calm. */
  uint32_t seconds = 60;
  Sabotage sabotage = Sabotage::kNone;
  SoakLoad load = SoakLoad::kHard;
  /** The node's program. */
  std::string program;
  /** Gets settings and logs. */
  std::string folder;
  uint8_t block = 0;
};

/** Why a soak could not be judged. */
enum class SoakError : uint8_t {
  /** Not every node became ready before the traffic. */
  kNotReady,
  /** Too few requests for any judgement. */
  kNoTraffic,
};

/** @return the snake_case name of an error. */
std::string_view toString(SoakError error);

/** What a soak showed. */
struct SoakResult {
  CallerCounts callers;
  uint64_t runs = 0;
  uint64_t probes = 0;
  uint64_t versions = 0;
  uint64_t logLines = 0;
  NodePeak highest;
  /** Served part of the requests that began after the recovery time of the last fault. */
  double servedAfterRecovery = 0;
  /** The longest time for which a service was not served while another of its pool was. */
  Duration longestStarved{0};
  /** Shortages after which the usual share was judged. */
  uint64_t returnsJudged = 0;
  size_t mostOpenFlows = 0;
  /** The longest time for which callers and hosts stood still. */
  Duration longestPause{0};
  /** Calls that waited for a thread of the store's stand-in at one time. */
  uint64_t storeQueueMost = 0;
  /** Of nodes and of the soak. */
  std::vector<Wait> waits;
  /** What the times of violations are counted from. */
  TimePoint begunAt{};
  std::map<FaultKind, uint64_t> faults;
  std::vector<Fault> planned;
  std::map<int64_t, SecondCounts> seconds;
  std::map<Promise, uint64_t> broken;
  std::vector<Violation> violations;

  bool keptAll() const { return broken.empty(); }
};

Result<SoakResult, SoakError> runSoak(const SoakOptions& options);

/** @return one line of JSON. */
std::string toJsonLine(const SoakOptions& options, const SoakResult& result);
/** Writes served.tsv and faults.tsv into the folder, for test/soak/served.gp, and waits.tsv: by the
 * time of day, as in the nodes' logs, what stood still for how many milliseconds, and what was
 * broken. */
void writePlotData(const std::string& folder, const SoakResult& result);
/** @return the figures for people. */
std::string toText(const SoakOptions& options, const SoakResult& result);

}  // namespace umberhold::soak
