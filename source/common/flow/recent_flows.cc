#include "common/flow/recent_flows.h"

#include "common/flow/sequence_number.h"

namespace umberhold {

RecentFlows::RecentFlows() : entries_(std::make_unique<std::array<Entry, kCapacity>>()) {}

RecentFlows::Entry& RecentFlows::entryFor(FlowHash hash) {
  const size_t first = hash.value % (kCapacity / kWays) * kWays;
  Entry* oldest = nullptr;
  for (size_t way = 0; way < kWays; ++way) {
    Entry& entry = (*entries_)[first + way];
    if (entry.hash == hash) {
      return entry;
    }
    if (oldest == nullptr || entry.at < oldest->at) {
      oldest = &entry;
    }
  }
  return *oldest;
}

void RecentFlows::note(TimePoint now, const FlowPacket& packet) {
  Entry& entry = entryFor(packet.hash);
  if (packet.phase != PacketPhase::kContinuing) {
    if (entry.hash == packet.hash) {
      entry = Entry{};
    }
    return;
  }
  const bool isKnown = entry.hash == packet.hash && entry.flow.token == packet.token;
  if (!isKnown) {
    entry.hash = packet.hash;
    entry.flow = {packet.key, packet.service, packet.token, packet.acknowledged, false};
  } else if (isAfter(packet.acknowledged, entry.flow.acknowledged)) {
    entry.flow.acknowledged = packet.acknowledged;
    entry.flow.underWay = false;
  }
  entry.flow.underWay = entry.flow.underWay || packet.dataBytes > 0;
  entry.at = now;
}

}  // namespace umberhold
