/** @file Fetches the reports of callers and the records of hosts. */
#pragma once

#include <cstdint>

#include "deployment.h"
#include "standins/oracle/oracle.h"

namespace umberhold::experiment {

/** Current state of the callers, summed over all regions. */
struct CallerProgress {
  uint64_t openFlows = 0;
  uint64_t outstandingRequests = 0;
  /** Whether the callers of every region responded. */
  bool complete = false;
};

/** Fetches the evidence from the stand-ins over HTTP. */
class EvidenceCollector {
 public:
  /** @param deployment borrowed; must outlive the collector. */
  explicit EvidenceCollector(const Deployment& deployment) : deployment_(deployment) {}

  /** @return the current state of the callers; doesn't retry. */
  CallerProgress progress() const;
  /**
   * Replaces the reports of callers and the records of hosts in the evidence.
   * @return whether none is missing after the retries. A missing one may hide a failure.
   */
  bool collect(standins::RunEvidence& evidence) const;

 private:
  const Deployment& deployment_;
};

}  // namespace umberhold::experiment
