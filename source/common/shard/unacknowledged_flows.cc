#include "common/shard/unacknowledged_flows.h"

#include <string>
#include <utility>

namespace umberhold {

void UnacknowledgedFlows::add(TimePoint now, FlowHash flow, uint32_t sequence,
                              std::string_view bytes, PacketSource source) {
  flows_[flow] = {now, sequence, {std::string(bytes), source}};
}

void UnacknowledgedFlows::hold(FlowHash flow, std::string_view bytes, PacketSource source) {
  const auto found = flows_.find(flow);
  if (found != flows_.end()) {
    found->second.packet = {std::string(bytes), source};
  }
}

std::vector<HoldQueue::Packet> UnacknowledgedFlows::takeAcknowledged(uint32_t first) {
  std::vector<HoldQueue::Packet> taken;
  std::erase_if(flows_, [&](auto& entry) {
    const bool acknowledged = entry.second.sequence < first;
    if (acknowledged) {
      taken.push_back(std::move(entry.second.packet));
    }
    return acknowledged;
  });
  return taken;
}

std::vector<UnacknowledgedFlows::Overdue> UnacknowledgedFlows::takeOverdue(TimePoint now) {
  std::vector<Overdue> taken;
  std::erase_if(flows_, [&](auto& entry) {
    const bool overdue = now - entry.second.since >= kAcknowledgementTimeout;
    if (overdue) {
      taken.push_back({entry.first, std::move(entry.second.packet)});
    }
    return overdue;
  });
  return taken;
}

std::vector<HoldQueue::Packet> UnacknowledgedFlows::takeAll() {
  std::vector<HoldQueue::Packet> taken;
  for (auto& [flow, waiting] : std::exchange(flows_, {})) {
    taken.push_back(std::move(waiting.packet));
  }
  return taken;
}

}  // namespace umberhold
