/** @file Measurements of an experiment. */
#pragma once

#include <cstdint>
#include <optional>

#include "node_ledger.h"
#include "standins/oracle/oracle.h"

namespace umberhold::experiment {

/** nullopt stands for values that were not measured. */
struct ExperimentResult {
  standins::Verdict verdict;
  NodeFigures nodes;
  /** Maximum time in milliseconds until a configuration change was effective on all running nodes.
   */
  std::optional<double> configInForceMillis;
  /** Number of times that a node did not apply its new keys before the timeout; nullopt if no keys
   * were changed. */
  std::optional<uint64_t> keysNotTaken;
  /** Sums over all callers; lists are empty. */
  standins::CallerReport totals;
  /** Number of failed checks of changes: an accepted change was not effective before the timeout or
   * was lost, a refused one was stored, or the service could not be read. */
  uint64_t lostChanges = 0;
  /** Number of changes that were not confirmed. */
  uint64_t failedChanges = 0;
  /** Whether the reports of all callers and hosts were received; otherwise counts may be too low.
   */
  bool evidenceComplete = false;

  /** @return whether a guarantee is violated. */
  bool promiseBroken() const;
};

/** Adds the counts of one caller process to the totals. */
void addCounts(standins::CallerReport& totals, const standins::CallerReport& report);

}  // namespace umberhold::experiment
