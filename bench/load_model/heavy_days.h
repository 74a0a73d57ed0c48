/** @file The heavy days that the load model plays, and the ways to choose hosts that it compares.
 */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bench/load_model/load_day.h"

namespace umberhold::load_model {

/** See the file comment. */
struct NamedDay {
  std::string name;
  LoadDay day;
};

/** See the file comment. */
struct NamedWay {
  std::string name;
  std::function<void(LoadDay&)> apply;
};

/** @return three zones of 25 nodes and 40 hosts, of which one has 40% of the callers; no event. */
LoadDay usualDay();
std::vector<NamedDay> heavyDays();
std::vector<NamedWay> ways();

}  // namespace umberhold::load_model
