/** @file Everything that an experiment measured. */
#pragma once

#include <cstdint>
#include <optional>

#include "node_ledger.h"
#include "standins/oracle/oracle.h"

namespace umberhold::experiment {

/** See the file comment. */
struct ExperimentResult {
  standins::Verdict verdict;
  NodeFigures nodes;
  std::optional<double> configInForceMillis;
  /** Times that a node did not take its part of a key rotation; nothing where none was tried. */
  std::optional<uint64_t> keysNotTaken;
  /** Sums over all callers; lists stay empty. */
  standins::CallerReport totals;
  /** Accepted changes that were not effective in time or are gone. */
  uint64_t lostChanges = 0;
  uint64_t failedChanges = 0;
  /** Whether all callers and hosts reported what they saw; otherwise counts may be too low. */
  bool evidenceComplete = false;

  bool promiseBroken() const;
};

/** Adds the counts of one caller process to the totals. */
void addCounts(standins::CallerReport& totals, const standins::CallerReport& report);

}  // namespace umberhold::experiment
