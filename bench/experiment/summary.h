/** @file Formats the results of an experiment as a table for people and one JSON line for programs.
 */
#pragma once

#include <ostream>
#include <string>

#include "experiment_result.h"

namespace umberhold::experiment {

/** The experiment and its options. */
struct SummaryHeader {
  std::string experiment;
  std::string strategy;
  uint64_t seed = 0;
  bool ownerRelay = true;
};

void printTable(std::ostream& out, const SummaryHeader& header, const ExperimentResult& result);

/** @return one line of JSON; values that were not measured are null. */
std::string toJsonLine(const SummaryHeader& header, const ExperimentResult& result);

}  // namespace umberhold::experiment
