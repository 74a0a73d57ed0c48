/** @file One soak run: traffic on real nodes with faults, then without, and its evaluation. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/base/result.h"
#include "test/soak/world/fault_plan.h"
#include "test/soak/world/node_evidence.h"
#include "test/soak/world/node_processes.h"
#include "test/soak/world/sabotage.h"
#include "test/soak/world/soak_world.h"

namespace umberhold::soak {

/** Which faults a run has. */
enum class SoakDay : uint8_t {
  /** All kinds. */
  kMixed,
  /** Nothing but short silences of the store. */
  kShortSilences,
  /** Nothing but routes that return and hosts that leave unseen. */
  kAbsences,
};

/** @return the snake_case name of a day. */
std::string_view toString(SoakDay day);
/** @return the day of this name, if there is one. */
std::optional<SoakDay> soakDayNamed(std::string_view name);

struct SoakOptions {
  uint64_t seed = 1;
  /** Duration of the traffic; its last part is without faults. */
  uint32_t seconds = 60;
  Sabotage sabotage = Sabotage::kNone;
  SoakLoad load = SoakLoad::kHard;
  SoakDay day = SoakDay::kMixed;
  /** How old answers are that may be stale; nothing for a time drawn from the seed. */
  std::optional<Duration> staleLag;
  /** The node's program. */
  std::string program;
  /** Receives settings and logs. */
  std::string folder;
  uint8_t block = 0;
};

/** Why a soak could not be evaluated. */
enum class SoakError : uint8_t {
  /** Not every node became ready before the traffic. */
  kNotReady,
  /** Too few requests for an evaluation. */
  kNoTraffic,
};

/** @return the snake_case name of an error. */
std::string_view toString(SoakError error);

/** Results of a soak. */
struct SoakResult {
  CallerCounts callers;
  uint64_t runs = 0;
  /** Datagrams from nodes to hosts that overloaded links lost. */
  uint64_t lostOnLinks = 0;
  uint64_t probes = 0;
  uint64_t versions = 0;
  /** Longest times for which an undisturbed node still acted on an older state. */
  Duration longestConfigurationDelay{0};
  Duration longestDrainDelay{0};
  uint64_t logLines = 0;
  NodePeak nodePeak;
  /** Share of requests served, of those that began after the recovery time of the last fault. */
  double servedAfterRecovery = 0;
  /** Maximum time for which a service was not served while another of its pool was. */
  Duration longestStarvation{0};
  /** Number of shortages after which the recovery was evaluated. */
  uint64_t recoveriesEvaluated = 0;
  size_t maxOpenFlows = 0;
  /** Maximum pause of the event loop of callers and hosts. */
  Duration longestPause{0};
  /** Maximum number of calls queued for a thread of the stand-in store. */
  uint64_t maxStoreQueue = 0;
  /** Pauses of the nodes and of the soak. */
  std::vector<Wait> waits;
  /** Start of the run, from which the times of violations are counted. */
  TimePoint startedAt{};
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
/** Writes served.tsv and faults.tsv into the folder, for test/soak/served.gp, and waits.tsv: pauses
 * in milliseconds and violations by time of day, as in the nodes' logs. */
void writePlotData(const std::string& folder, const SoakResult& result);
/** @return the human-readable summary. */
std::string toText(const SoakOptions& options, const SoakResult& result);

}  // namespace umberhold::soak
