/** @file Sliding windows of the replay guard. */
#include "common/wire/replay_guard.h"

#include <algorithm>

namespace umberhold {

ReplayVerdict ReplayGuard::check(NodeId sender, uint64_t incarnation, uint64_t sequence) {
  Sender& known = find(sender, incarnation, sequence);
  if (incarnation < known.incarnation) {
    return ReplayVerdict::kTooOld;
  }
  known.lastReceived = ++datagramCount_;
  if (sequence > known.highest) {
    const uint64_t advance = sequence - known.highest;
    known.received =
        advance < kReplayWindow ? known.received << advance : std::bitset<kReplayWindow>{};
    known.received.set(0);
    known.highest = sequence;
    return ReplayVerdict::kFresh;
  }
  const uint64_t behind = known.highest - sequence;
  if (behind >= kReplayWindow) {
    return ReplayVerdict::kTooOld;
  }
  if (known.received.test(behind)) {
    return ReplayVerdict::kRepeated;
  }
  known.received.set(behind);
  return ReplayVerdict::kFresh;
}

ReplayGuard::Sender& ReplayGuard::find(NodeId sender, uint64_t incarnation, uint64_t sequence) {
  auto found = senders_.find(sender);
  if (found == senders_.end()) {
    if (senders_.size() >= kMaxSenders) {
      evictOldest();
    }
    found = senders_.emplace(sender, Sender{incarnation, sequence, datagramCount_, {}}).first;
  } else if (incarnation > found->second.incarnation) {
    found->second = Sender{incarnation, sequence, datagramCount_, {}};
  }
  return found->second;
}

void ReplayGuard::evictOldest() {
  const auto oldest =
      std::min_element(senders_.begin(), senders_.end(), [](const auto& left, const auto& right) {
        return left.second.lastReceived < right.second.lastReceived;
      });
  senders_.erase(oldest);
}

}  // namespace umberhold
