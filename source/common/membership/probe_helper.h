/** @file Probes that this node makes on behalf of others. */
#pragma once

#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** Passes indirect probes on and their outcome back. */
class ProbeHelper {
 public:
  explicit ProbeHelper(MembershipContext& context) : context_(context) {}

  void onRequest(TimePoint now, const Endpoint& requester, const PingRequest& request);
  /** @return whether the answer belonged to a probe for somebody else. */
  bool onAck(uint32_t sequence, NodeId subject);
  /** Tells requesters of targets that did not answer in time. */
  void tick(TimePoint now);
  void reset() { relayedProbes_.clear(); }

 private:
  struct RelayedProbe {
    Endpoint requester;
    uint32_t requesterSequence = 0;
    uint32_t sequence = 0;
    NodeId target;
    TimePoint deadline;
  };

  MembershipContext& context_;
  std::vector<RelayedProbe> relayedProbes_;
};

}  // namespace umberhold
