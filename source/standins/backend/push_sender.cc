#include "standins/backend/push_sender.h"

namespace umberhold::standins {
namespace {

constexpr UnixMillis kRetransmitMillis = 1000;
/** Maximum number of transmissions of one push. */
constexpr uint32_t kMaxSends = 10;

}  // namespace

PushSender::PushSender(UnixMillis now, uint32_t meanPauseMillis, RandomSource& random)
    : meanPauseMillis_(meanPauseMillis), nextPush_(now + randomPause(random)) {}

UnixMillis PushSender::randomPause(RandomSource& random) const {
  return meanPauseMillis_ / 2 + static_cast<UnixMillis>(random.below(meanPauseMillis_ + 1));
}

std::vector<uint64_t> PushSender::due(UnixMillis now, uint64_t& nextId, RandomSource& random,
                                      PushCounters& counters) {
  if (meanPauseMillis_ > 0 && now >= nextPush_) {
    nextPush_ = now + randomPause(random);
    pending_[nextId++] = Pending{now, 0};
    ++counters.sent;
  }
  counters.lost += std::erase_if(pending_, [now](const auto& entry) {
    return entry.second.sends >= kMaxSends && now >= entry.second.nextSend;
  });
  std::vector<uint64_t> ids;
  for (auto& [id, pending] : pending_) {
    if (now >= pending.nextSend) {
      ids.push_back(id);
      ++pending.sends;
      pending.nextSend = now + kRetransmitMillis;
    }
  }
  return ids;
}

void PushSender::onReceipt(uint64_t id, PushCounters& counters) {
  counters.received += pending_.erase(id);
}

}  // namespace umberhold::standins
