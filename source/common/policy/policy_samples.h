/** @file Sample views on which a policy is run before it is accepted. */
#pragma once

#include <vector>

#include "common/policy/policy_engine.h"

namespace umberhold {

/** @return hosts in all combinations of states that policies usually distinguish. */
std::vector<HostView> sampleHosts();
/** @return an idle, a busy and a saturated service, and one without hosts. */
std::vector<ServiceView> sampleServices();

}  // namespace umberhold
