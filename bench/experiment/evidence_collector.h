/** @file Fetches what callers and hosts recorded. */
#pragma once

#include <cstdint>

#include "deployment.h"
#include "standins/oracle/oracle.h"

namespace umberhold::experiment {

/** What the callers of all regions hold at one time. */
struct CallerProgress {
  uint64_t openFlows = 0;
  uint64_t outstandingRequests = 0;
  /** Whether every region's callers reported. */
  bool complete = false;
};

/** Asks the stand-ins over HTTP. */
class EvidenceCollector {
 public:
  /** @param deployment borrowed; must outlive the collector. */
  explicit EvidenceCollector(const Deployment& deployment) : deployment_(deployment) {}

  /** @return where the callers stand; asks once. */
  CallerProgress progress() const;
  /**
   * Puts the reports of all callers and the records of all hosts into the evidence.
   * @return whether none is missing, in spite of repeats: a missing one would hide what it tells.
   */
  bool collect(standins::RunEvidence& evidence) const;

 private:
  const Deployment& deployment_;
};

}  // namespace umberhold::experiment
