/** @file Admission metrics on a node's metrics path. */
#pragma once

#include <prometheus/metric_family.h>

#include <vector>

#include "common/admission/admission.h"
#include "common/base/time.h"

namespace umberhold {

/** Adds the families for the capacity and usage of pools and for the outcome of openings, by pool
 * and service. */
void addAdmissionFamilies(TimePoint now, const Admission& admission,
                          std::vector<prometheus::MetricFamily>& families);

}  // namespace umberhold
