/** @file Indirect probes: probes that this node runs on behalf of other members. */
#pragma once

#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** Relays probes to their targets and returns the results to the requesters. */
class ProbeHelper {
 public:
  explicit ProbeHelper(MembershipContext& context) : context_(context) {}

  void onRequest(TimePoint now, const Endpoint& requester, const PingRequest& request);
  /** @return whether the acknowledgement belongs to a relayed probe. */
  bool onAck(uint32_t sequence, NodeId subject);
  /** Sends a PingNack to the requesters of probes that timed out. */
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
