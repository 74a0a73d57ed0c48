/** @file Result of probing the health and load of a host. */
#pragma once

#include <cstdint>

#include "common/base/strong_id.h"

namespace umberhold {

/** Result of one probe. */
struct ProbeResult {
  ServiceId service;
  HostId host;
  /** False if there was no answer or its status was not 200. */
  bool healthy = false;
  /** Whether loadPercent is set. */
  bool hasLoad = false;
  /** Load in percent of the host's capacity, as reported by the host. */
  uint32_t loadPercent = 0;
};

}  // namespace umberhold
