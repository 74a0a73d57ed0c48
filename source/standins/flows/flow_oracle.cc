#include "standins/flows/flow_oracle.h"

#include <algorithm>

namespace umberhold {
namespace {

/** Grace period of a drain: new flows may reach the host for this long after the drain is in
 * effect on all nodes; see setDraining(). */
constexpr Duration kDrainGrace = std::chrono::seconds(3);

}  // namespace

uint32_t FlowOracle::open(const FlowKey& key) {
  OracleFlow flow;
  flow.key = key;
  flows_.push_back(flow);
  return static_cast<uint32_t>(flows_.size() - 1);
}

void FlowOracle::recordViolation(TimePoint now, uint32_t flow, Violation::Kind kind) {
  violations_.push_back(Violation{kind, flow, now});
  if (flows_[flow].host && !flows_[flow].broken) {
    flows_[flow].broken = true;
    ++broken_;
  }
}

void FlowOracle::onHost(TimePoint now, uint32_t number, const Endpoint& host, PacketPhase phase) {
  OracleFlow& flow = flows_[number];
  if (flow.ended || flow.broken) {
    return;
  }
  if (flow.refused) {
    recordViolation(now, number, Violation::Kind::kRefusedThenForwarded);
    return;
  }
  if (flow.host) {
    if (*flow.host != host) {
      recordViolation(now, number, Violation::Kind::kSecondHost);
    }
    return;
  }
  const bool opensFlow = phase == PacketPhase::kOpening || phase == PacketPhase::kUnmarked;
  if (!opensFlow) {
    return;
  }
  flow.host = host;
  ++established_;
  const auto draining = draining_.find(host);
  if (draining != draining_.end() && now - draining->second > kDrainGrace) {
    violations_.push_back(Violation{Violation::Kind::kNewOnDraining, number, now});
  }
}

void FlowOracle::onRefused(TimePoint now, uint32_t number, PacketPhase /*phase*/) {
  OracleFlow& flow = flows_[number];
  if (flow.ended || flow.broken) {
    return;
  }
  if (flow.host) {
    recordViolation(now, number, Violation::Kind::kForwardedThenRefused);
    return;
  }
  if (!flow.refused) {
    flow.refused = true;
    ++refused_;
  }
}

void FlowOracle::removeHost(const Endpoint& host) {
  stoppedHosts_.insert(host);
  draining_.erase(host);
  for (OracleFlow& flow : flows_) {
    if (flow.host == host) {
      flow.ended = true;
    }
  }
}

void FlowOracle::setDraining(const Endpoint& host, std::optional<TimePoint> since) {
  if (since) {
    draining_[host] = *since;
  } else {
    draining_.erase(host);
  }
}

std::map<Endpoint, uint32_t> FlowOracle::liveFlows() const {
  std::map<Endpoint, uint32_t> counts;
  for (const OracleFlow& flow : flows_) {
    if (flow.host && !flow.ended && !flow.broken) {
      ++counts[*flow.host];
    }
  }
  return counts;
}

double FlowOracle::imbalance() const {
  double totalFlows = 0.0;
  double busiestFlows = 0.0;
  double hostCount = 0.0;
  for (const auto& [host, count] : liveFlows()) {
    if (stoppedHosts_.contains(host) || draining_.contains(host)) {
      continue;
    }
    totalFlows += count;
    busiestFlows = std::max(busiestFlows, static_cast<double>(count));
    hostCount += 1.0;
  }
  return totalFlows > 0.0 ? busiestFlows * hostCount / totalFlows : 0.0;
}

}  // namespace umberhold
