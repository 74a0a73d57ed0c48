#include "common/token/recent_flows.h"

#include "common/flow/sequence_number.h"

namespace umberhold {

void RecentFlows::remove(Entries::iterator entry) {
  byHash_.erase(entry->hash);
  entries_.erase(entry);
}

RecentFlows::Entry& RecentFlows::latest(const FlowPacket& packet) {
  const auto known = byHash_.find(packet.hash);
  if (known != byHash_.end()) {
    entries_.splice(entries_.end(), entries_, known->second);
  } else {
    if (entries_.size() >= kCapacity) {
      remove(entries_.begin());
    }
    entries_.push_back({packet.hash, {}, {}});
    byHash_[packet.hash] = std::prev(entries_.end());
  }
  return entries_.back();
}

std::optional<TimePoint> RecentFlows::firstSeenAt(FlowHash hash) const {
  const auto known = byHash_.find(hash);
  return known == byHash_.end() ? std::nullopt : std::optional(known->second->flow.firstSeenAt);
}

void RecentFlows::expire(TimePoint oldest) {
  while (!entries_.empty() && entries_.front().at < oldest) {
    remove(entries_.begin());
  }
}

void RecentFlows::record(TimePoint now, const FlowPacket& packet) {
  if (packet.phase != PacketPhase::kContinuing) {
    const auto known = byHash_.find(packet.hash);
    if (known != byHash_.end()) {
      remove(known->second);
    }
    return;
  }
  Entry& entry = latest(packet);
  if (entry.flow.token != packet.token) {
    entry.flow = {packet.key, packet.service, packet.token, packet.acknowledged, false, now};
  } else if (isAfter(packet.acknowledged, entry.flow.acknowledged)) {
    entry.flow.acknowledged = packet.acknowledged;
    entry.flow.requestInFlight = false;
  }
  entry.flow.requestInFlight = entry.flow.requestInFlight || packet.dataBytes > 0;
  entry.at = now;
}

}  // namespace umberhold
