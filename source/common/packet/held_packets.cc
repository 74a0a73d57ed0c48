#include "common/packet/held_packets.h"

#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

uint64_t keyOf(const ParsedPacket& packet) {
  const uint64_t flow = hashOf(packet.key).value;
  const uint64_t opening = packet.phase == PacketPhase::kOpening ? 1 : 0;
  return mixHash(mixHash(flow, packet.sequence), opening);
}

}  // namespace

size_t HeldPackets::hold(TimePoint now, const ParsedPacket& packet, std::string_view bytes) {
  const uint64_t key = keyOf(packet);
  const auto copy = byKey_.find(key);
  if (copy != byKey_.end()) {
    packets_.erase(copy->second);
  }
  packets_.push_back({key, now, std::string(bytes)});
  byKey_[key] = std::prev(packets_.end());
  if (packets_.size() <= kCapacity) {
    return 0;
  }
  byKey_.erase(packets_.front().key);
  packets_.pop_front();
  return 1;
}

std::vector<std::string> HeldPackets::take(TimePoint now) {
  std::vector<std::string> taken;
  for (Held& held : packets_) {
    if (now - held.at <= kLongest) {
      taken.push_back(std::move(held.bytes));
    }
  }
  packets_.clear();
  byKey_.clear();
  return taken;
}

}  // namespace umberhold
