#include "common/token/dead_host_flows.h"

#include "common/token/host_life.h"

namespace umberhold {

void DeadHostFlows::onEnded(TimePoint now, const std::set<uint32_t>& tokens, TimePoint knownAsOf) {
  if (tokens.empty()) {
    return;
  }
  add(recent_.take(now - flowLife_,
                   [&](const RecentFlow& flow) {
                     return tokens.contains(flow.token) && flow.firstSeenAt <= knownAsOf;
                   }),
      RefusalReason::kHostEnded);
}

void DeadHostFlows::onRestarted(TimePoint now, uint32_t token, TimePoint startedAt) {
  add(recent_.take(now - flowLife_, startedAt - kMaxClockSkew,
                   [&](const RecentFlow& flow) { return flow.token == token; }),
      RefusalReason::kHostEnded);
}

void DeadHostFlows::onSilent(TimePoint now, const std::set<uint32_t>& tokens,
                             const std::function<bool(ServiceId)>& isRepeatable) {
  if (tokens.empty()) {
    return;
  }
  add(recent_.take(now - flowLife_,
                   [&](const RecentFlow& flow) {
                     return tokens.contains(flow.token) &&
                            (!flow.requestInFlight || isRepeatable(flow.service));
                   }),
      RefusalReason::kHostSilent);
}

void DeadHostFlows::add(const std::vector<RecentFlow>& flows, RefusalReason reason) {
  for (const RecentFlow& flow : flows) {
    pending_.push_back({flow.key, flow.acknowledged, reason});
  }
}

std::vector<ResetFlow> DeadHostFlows::take() {
  std::vector<ResetFlow> taken;
  while (!pending_.empty() && taken.size() < kMaxResetsPerCall) {
    taken.push_back(pending_.front());
    pending_.pop_front();
  }
  return taken;
}

}  // namespace umberhold
