#include "common/shard/snapshot_sender.h"

#include <algorithm>
#include <utility>

#include "common/shard/snapshot.h"

namespace umberhold {

SnapshotSender::SnapshotSender(TimePoint now, std::vector<SnapshotChunk> chunks)
    : chunks_(std::move(chunks)), lastProgress_(now), lastSend_(now) {}

void SnapshotSender::poll(TimePoint now, ByteBudget& budget, const Send& send) {
  if (done()) {
    return;
  }
  if (nextToSend_ > acknowledged_ && now - lastSend_ >= resendAfter_) {
    nextToSend_ = acknowledged_;
    resendAfter_ = std::min(resendAfter_ * 2, kMaxResendInterval);
  }
  const auto end = std::min<size_t>(chunks_.size(), static_cast<size_t>(acknowledged_) + kWindow);
  while (nextToSend_ < end && budget.hasTokens(now)) {
    const SnapshotChunk& chunk = chunks_[nextToSend_];
    budget.consume(now, static_cast<double>(estimatedBytes(chunk)));
    send(chunk);
    lastSend_ = now;
    ++nextToSend_;
  }
}

void SnapshotSender::onAck(TimePoint now, uint32_t next) {
  if (next > chunks_.size() || next <= acknowledged_) {
    return;
  }
  acknowledged_ = next;
  nextToSend_ = std::max(nextToSend_, acknowledged_);
  lastProgress_ = now;
  resendAfter_ = kInitialResendInterval;
}

}  // namespace umberhold
