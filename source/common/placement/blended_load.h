/**
 * @file Host load estimated from load reports and from flow counts.
 *
 * A report is scaled by the change in flow count since it was made. As it ages, its weight moves to
 * an estimate from flow counts. Reports may be wrong: a host that underreports is still given at
 * least half of the load that its flow count suggests.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/time.h"
#include "common/health/host_health.h"

namespace umberhold {

/** Input of the load estimate for one host. */
struct LoadInput {
  std::optional<LoadReport> report;
  /** Current number of flows over all owners. */
  double flows = 0.0;
  uint32_t connectionLimit = 1;
};

/** @return the load of each host: 0.0 is idle, 1.0 is full, and above 1.0 is overloaded. */
std::vector<double> blendLoads(TimePoint now, const std::vector<LoadInput>& hosts);

}  // namespace umberhold
