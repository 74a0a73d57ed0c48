/** @file Sends one snapshot to one node: window, acknowledgement, resend with back-off. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "common/base/byte_budget.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** The sending side of a snapshot transfer. Not thread safe. */
class SnapshotSender {
 public:
  static constexpr uint32_t kWindow = 8;
  static constexpr Duration kInitialResendInterval = std::chrono::milliseconds(200);
  static constexpr Duration kMaximumResendInterval = std::chrono::seconds(2);
  /** Without any acknowledgement for this long the transfer counts as failed. */
  static constexpr Duration kPatience = std::chrono::seconds(15);

  using Send = std::function<void(const SnapshotChunk&)>;

  SnapshotSender(TimePoint now, std::vector<SnapshotChunk> chunks);

  /** Sends what the window, the clock and the budget allow. */
  void poll(TimePoint now, ByteBudget& budget, const Send& send);
  /** @param next every chunk below it has arrived; a lower number than before is ignored. */
  void onAck(TimePoint now, uint32_t next);

  bool done() const { return acknowledged_ == chunks_.size(); }
  bool failed(TimePoint now) const { return !done() && now - lastProgress_ > kPatience; }
  uint32_t attempt() const { return chunks_.front().attempt; }

 private:
  std::vector<SnapshotChunk> chunks_;
  uint32_t acknowledged_ = 0;
  /** First chunk that was not sent since the last resend. */
  uint32_t nextToSend_ = 0;
  TimePoint lastProgress_;
  TimePoint lastSend_;
  Duration resendAfter_ = kInitialResendInterval;
};

}  // namespace umberhold
