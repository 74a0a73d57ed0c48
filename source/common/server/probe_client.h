/** @file Probes hosts over HTTP with connections kept alive between probes. */
#pragma once

#include <cstddef>
#include <memory>

#include "common/base/endpoint.h"
#include "common/base/time.h"

namespace umberhold {

/** Result of a probe of a host's endpoints. */
struct ProbeAnswer {
  bool healthy = false;
  bool hasLoad = false;
  /** Percent of the host's capacity. */
  uint32_t loadPercent = 0;
};

/** Probes hosts; all threads share the connections. Thread safe. */
class ProbeClient {
 public:
  /** @param timeout of each request. */
  explicit ProbeClient(Duration timeout);
  ~ProbeClient();
  /** Sends at most two requests and blocks until they end. */
  ProbeAnswer probe(const Endpoint& endpoint);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
