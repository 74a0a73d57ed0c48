/**
 * @file The owner's side of replication: an ordered log of changes, acknowledged by the replica.
 *
 * One batch is on the way at a time. Batches leave as soon as the node's byte budget has no debt,
 * so that they are small and quick while little happens and large while much happens. A batch is
 * not held up until all of its bytes are there: logs share the budget, and one with small batches
 * would always be served before that. Removed flows alone wait for company.
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

/** The log. Not thread safe. */
class ReplicationLog {
 public:
  static constexpr Duration kInitialResendInterval = std::chrono::milliseconds(300);
  static constexpr Duration kMaximumResendInterval = std::chrono::seconds(3);
  /** A change that waits longer than this means that the replica can't be relied upon. */
  static constexpr Duration kMaximumLag = std::chrono::seconds(2);
  /** How long removed flows wait for an added one, to share its datagram. */
  static constexpr Duration kMaximumRemovalDelay = std::chrono::seconds(1);
  /** A batch that stays unacknowledged for this long, resends included, means the same as a lag. */
  static constexpr Duration kMaximumUnacknowledgedTime = std::chrono::milliseconds(700);
  /** Beyond it the log is given up and the replica needs a snapshot. */
  static constexpr size_t kMaximumChanges = 8192;
  static constexpr size_t kBatchBytes = 1100;

  /** Starts an epoch: the log is empty and the replica has nothing. */
  void reset(TimePoint now);
  /** A snapshot that covers every change up to now is on its way: drops them. @return its sequence.
   */
  uint32_t startSnapshot();
  /** The replica holds the snapshot that startSnapshot() belongs to. */
  void onSnapshotDelivered(TimePoint now);

  void added(TimePoint now, const PinnedFlow& pinned);
  void removed(TimePoint now, FlowHash flow);
  void refused(TimePoint now, FlowHash flow);

  /** @return the batch to send now, if any; its bytes are taken from the budget, which may go into
   * debt by one batch. */
  std::optional<ReplicaAppend> poll(TimePoint now, ByteBudget& budget, const ShardId& shard,
                                    uint32_t epoch);
  /** @param next first sequence that the replica lacks. */
  void onAck(TimePoint now, uint32_t next);
  /** The replica said that it has no base of this epoch. */
  void markReplicaLost();

  /** @return whether the replica has a base and follows. */
  bool synchronised() const { return synchronised_; }
  /** @return whether the replica has all changes but the latest ones. */
  bool current(TimePoint now) const;
  /**
   * @return since when a change waits that should not; the end of time for none. Of the logs that
   * share a budget, the one that waits longest goes first.
   */
  TimePoint oldestUrgentChangeTime() const;
  uint32_t nextSequence() const { return first_ + static_cast<uint32_t>(changes_.size()); }
  /** @return the sequence of the oldest change that is not acknowledged. */
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
  /** @return whether there is nothing but removed flows that may still wait. */
  bool canDelay(TimePoint now) const;
  ReplicaAppend makeBatch(const ShardId& shard, uint32_t epoch, size_t& bytes) const;

  std::deque<Change> changes_;
  /** Sequence of changes_.front(). */
  uint32_t first_ = 1;
  bool synchronised_ = false;
  /** Changes of the batch on the way; 0 for none. */
  TimePoint lastSend_{};
  bool inFlight_ = false;
  TimePoint firstSend_{};
  Duration resendAfter_ = kInitialResendInterval;
};

}  // namespace umberhold
