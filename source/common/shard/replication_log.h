/**
 * @file Owner side of replication: an ordered log of changes, acknowledged by the replica.
 *
 * One batch is in flight at a time. A batch is sent as soon as the node's byte budget has no debt,
 * so batches are small and frequent at low rates and large at high rates. A batch does not wait
 * until the budget covers all of its bytes: logs share the budget, and one with small batches would
 * always be served first. Removed flows alone are delayed, to share a datagram with other changes.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/base/byte_budget.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"
#include "common/shard/shard_content.h"

namespace umberhold {

/** An ordered log of changes to one shard. Not thread safe. */
class ReplicationLog {
 public:
  static constexpr Duration kInitialResendInterval = std::chrono::milliseconds(300);
  static constexpr Duration kMaxResendInterval = std::chrono::seconds(3);
  /** If a change is unacknowledged for longer, the replica counts as unreliable. */
  static constexpr Duration kMaxLag = std::chrono::seconds(2);
  /** How long removed flows wait for an added one, to share its datagram. */
  static constexpr Duration kMaxRemovalDelay = std::chrono::seconds(1);
  /**
   * If a batch is unacknowledged for longer, resends included, the replica counts as unreliable.
   */
  static constexpr Duration kMaxUnacknowledgedTime = std::chrono::milliseconds(700);
  /** If more changes are unacknowledged, the log is discarded and the replica needs a snapshot. */
  static constexpr size_t kMaxChanges = 8192;
  static constexpr size_t kBatchBytes = 1100;

  /** Starts an epoch with an empty log and a replica without state. */
  void reset(TimePoint now);
  /** Starts a snapshot that covers all changes so far, and discards them. @return its sequence. */
  uint32_t startSnapshot();
  /** The replica has received the snapshot of startSnapshot(). */
  void onSnapshotDelivered(TimePoint now);

  void appendAdded(TimePoint now, const PinnedFlow& pinned);
  void appendRemoved(TimePoint now, FlowHash flow);
  void appendRefused(TimePoint now, FlowHash flow);

  /**
   * @return the batch to send now, if any; its bytes are charged to the budget, which may go into
   * debt by one batch.
   */
  std::optional<ReplicaAppend> poll(TimePoint now, ByteBudget& budget, const ShardId& shard,
                                    uint32_t epoch);
  /** @param next first sequence that the replica lacks. */
  void onAck(TimePoint now, uint32_t next);
  /**
   * Stops sending until a new snapshot is delivered: the replica has none of this epoch, was
   * replaced, or has one with an invalid base table.
   */
  void markReplicaLost();

  /** @return whether the replica has the snapshot and applies the log. */
  bool synchronised() const { return synchronised_; }
  /** @return whether the replica has all changes except the most recent ones. */
  bool current(TimePoint now) const;
  /**
   * @return the time of the oldest change that may not be delayed; TimePoint::max() if none. Of the
   * logs that share a budget, the one with the earliest time is served first.
   */
  TimePoint oldestUrgentChangeTime() const;
  uint32_t nextSequence() const { return first_ + static_cast<uint32_t>(changes_.size()); }
  /** @return the sequence of the oldest unacknowledged change. */
  uint32_t firstSequence() const { return first_; }
  size_t pending() const { return changes_.size(); }

 private:
  enum class Kind : uint8_t { kAdded = 0, kRemoved = 1, kRefused = 2 };
  struct Change {
    Kind kind = Kind::kAdded;
    FlowHash flow;
    HostId host;
    TimePoint when;
  };

  void append(const Change& change);
  /** @return whether only removed flows are pending and they may be delayed further. */
  bool canDelay(TimePoint now) const;
  ReplicaAppend makeBatch(const ShardId& shard, uint32_t epoch, size_t& bytes) const;

  std::deque<Change> changes_;
  /** Sequence of changes_.front(). */
  uint32_t first_ = 1;
  bool synchronised_ = false;
  /** Time of the last transmission, acknowledgement or snapshot. */
  TimePoint lastSend_{};
  bool inFlight_ = false;
  TimePoint firstSend_{};
  Duration resendAfter_ = kInitialResendInterval;
};

}  // namespace umberhold
