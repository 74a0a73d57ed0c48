/** @file The named experiments: the actions on the system and their times. */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "experiment_run.h"

namespace umberhold::experiment {

/** One experiment. */
struct Scenario {
  std::string name;
  std::string description;
  uint32_t defaultSeconds = 20;
  /** Mean life of a flow in milliseconds; 0: flows stay open for the whole run. */
  uint32_t flowLifeMillis = 0;
  /** Performs the actions on the running system; returns before the end of the run. */
  std::function<void(ExperimentRun&)> execute;
};

/** @return all experiments; the first one is the demo. */
const std::vector<Scenario>& scenarios();

/** @return the experiment with this name; nullptr if there is none. */
const Scenario* findScenario(const std::string& name);

}  // namespace umberhold::experiment
