/** @file The answer of a host to a probe of its health and load. */
#pragma once

#include <cstdint>

#include "common/base/strong_id.h"

namespace umberhold {

/** What a probe of a host found. */
struct ProbeResult {
  ServiceId service;
  HostId host;
  /** No answer, or an answer that was not 200. */
  bool healthy = false;
  /** Whether the load below was reported. */
  bool hasLoad = false;
  /** Load in percent of the host's capacity, as the host reports it. */
  uint32_t loadPercent = 0;
};

}  // namespace umberhold
