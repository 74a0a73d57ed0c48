#include "common/flow/held_packets.h"

#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

uint64_t keyOf(const FlowPacket& packet) {
  const uint64_t opening = packet.phase == PacketPhase::kOpening ? 1 : 0;
  return mixHash(mixHash(packet.hash.value, packet.sequence), opening);
}

}  // namespace

size_t HeldPackets::hold(TimePoint now, const FlowPacket& packet, std::string_view bytes) {
  const uint64_t key = keyOf(packet);
  const auto copy = byKey_.find(key);
  if (copy != byKey_.end()) {
    packets_.erase(copy->second);
  }
  packets_.push_back({key, packet.token, now, std::string(bytes)});
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
    if (now - held.at <= kMaxHoldTime) {
      taken.push_back(std::move(held.bytes));
    }
  }
  packets_.clear();
  byKey_.clear();
  return taken;
}

std::vector<std::string> HeldPackets::takeByToken(TimePoint now, const std::set<uint32_t>& tokens) {
  std::vector<std::string> taken;
  for (auto held = packets_.begin(); held != packets_.end();) {
    const auto next = std::next(held);
    if (tokens.contains(held->token)) {
      if (now - held->at <= kMaxHoldTime) {
        taken.push_back(std::move(held->bytes));
      }
      byKey_.erase(held->key);
      packets_.erase(held);
    }
    held = next;
  }
  return taken;
}

}  // namespace umberhold
