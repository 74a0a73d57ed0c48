/** @file Scenarios of overload and failures for the load model, and the variants of host selection
 * that it compares. */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bench/load_model/load_day.h"

namespace umberhold::load_model {

/** One scenario of the table. */
struct NamedScenario {
  std::string name;
  LoadScenario scenario;
};

/** A change of a scenario's host selection or limits. The table has one row for each pair of a
 * scenario and a variant. */
struct NamedVariant {
  std::string name;
  std::function<void(LoadScenario&)> apply;
};

/** @return three zones of 25 nodes and 40 hosts each, without events; one zone has 40% of the
 * callers. */
LoadScenario baselineScenario();
std::vector<NamedScenario> scenarios();
std::vector<NamedVariant> variants();

}  // namespace umberhold::load_model
