/**
 * @file Sends one snapshot to one node, with a window, acknowledgements and resends with backoff.
 */
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
  static constexpr Duration kMaxResendInterval = std::chrono::seconds(2);
  /** The transfer fails if no acknowledgement makes progress for this long. */
  static constexpr Duration kProgressTimeout = std::chrono::seconds(15);

  using Send = std::function<void(const SnapshotChunk&)>;

  SnapshotSender(TimePoint now, std::vector<SnapshotChunk> chunks);

  /** Sends as many chunks as the window, the resend interval and the budget allow. */
  void poll(TimePoint now, ByteBudget& budget, const Send& send);
  /** @param next all chunks below it have arrived; values below an earlier one are ignored. */
  void onAck(TimePoint now, uint32_t next);

  bool done() const { return acknowledged_ == chunks_.size(); }
  bool failed(TimePoint now) const { return !done() && now - lastProgress_ > kProgressTimeout; }
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
