/** @file What admission shows at a node's metrics path. */
#pragma once

#include <prometheus/metric_family.h>

#include <vector>

#include "common/admission/admission.h"
#include "common/base/time.h"

namespace umberhold {

/** Adds the room and the use of pools, and what became of openings by pool and service. */
void addAdmissionFamilies(TimePoint now, const Admission& admission,
                          std::vector<prometheus::MetricFamily>& families);

}  // namespace umberhold
