#include "common/membership/probe_helper.h"

#include <algorithm>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Maximum number of concurrent relayed probes; further requests are ignored. */
constexpr size_t kMaxRelayed = 64;

}  // namespace

void ProbeHelper::onRequest(TimePoint now, const Endpoint& requester, const PingRequest& request) {
  if (relayedProbes_.size() >= kMaxRelayed) {
    return;
  }
  const uint32_t sequence = context_.nextSequence();
  relayedProbes_.push_back(RelayedProbe{requester, request.sequence, sequence, request.target,
                                        now + context_.options.helperTimeout});
  context_.sink.send(request.targetEndpoint, Message{Ping{sequence, {}}});
}

bool ProbeHelper::onAck(uint32_t sequence, NodeId subject) {
  const auto found =
      std::find_if(relayedProbes_.begin(), relayedProbes_.end(), [&](const RelayedProbe& relayed) {
        return relayed.sequence == sequence && relayed.target == subject;
      });
  if (found == relayedProbes_.end()) {
    return false;
  }
  context_.sink.send(found->requester, Message{PingAck{found->requesterSequence, subject, {}}});
  relayedProbes_.erase(found);
  return true;
}

void ProbeHelper::tick(TimePoint now) {
  std::erase_if(relayedProbes_, [&](const RelayedProbe& relayed) {
    if (now < relayed.deadline) {
      return false;
    }
    context_.sink.send(relayed.requester,
                       Message{PingNack{relayed.requesterSequence, relayed.target}});
    return true;
  });
}

}  // namespace umberhold
