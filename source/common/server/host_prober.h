/** @file Probes hosts over HTTP on threads of its own: GET /health, then GET /load. */
#pragma once

#include <functional>
#include <memory>

#include "common/node/node_core.h"
#include "common/server/loop_mailbox.h"

namespace umberhold {

/** Timeout of one request of a probe. */
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
/** Maximum number of probes waiting for a thread; further probes are dropped. */
constexpr size_t kProbeQueueCapacity = 1024;

/** Runs probes and passes their results to the loop. probe() must be called on the loop thread. */
class HostProber : public ProbeOutput {
 public:
  /** @param mailbox the loop's mailbox, borrowed; @param onResult called on the loop thread. */
  HostProber(LoopMailbox& mailbox, std::function<void(const ProbeResult&)> onResult);
  /** Ends the threads after the probes in progress. */
  ~HostProber() override;

  /** Does nothing if a probe of the host is already queued or in progress. */
  void probe(ServiceId service, HostId host, const Endpoint& httpEndpoint) override;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
