/**
 * @file Replicated list of the existing flows of a UDP shard, as short fingerprints.
 *
 * UDP packets do not mark the start of a flow. After the death of an owner, its successor
 * distinguishes new flows from existing ones by the fingerprints that the owner had sent to its
 * replica. On a fingerprint collision a new flow counts as existing, never an existing one as new.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "common/base/byte_budget.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** 32 bits of a flow's hash: with 100,000 flows listed, about 2 in 100,000 new ones collide. */
using FlowFingerprint = uint32_t;

FlowFingerprint fingerprintOf(FlowHash flow);

/** Fingerprints of all flows that existed at one time. Immutable. */
class KnownFlowSet {
 public:
  explicit KnownFlowSet(std::vector<FlowFingerprint> fingerprints);

  bool contains(FlowHash flow) const;
  /** @return the fingerprints in ascending order. */
  const std::vector<FlowFingerprint>& list() const { return sorted_; }

 private:
  std::vector<FlowFingerprint> sorted_;
};

/** Owner side: sends the replica every flow, in order, with acknowledgement. Not thread safe. */
class KnownFlowStream {
 public:
  /** How long a partial batch waits for more flows while the byte budget is scarce. */
  static constexpr Duration kPartialBatchDelay = std::chrono::seconds(3);
  /**
   * Minimum interval between two full batches, or between any two while the budget is ample. Until
   * the replica has received a flow, the flow counts as new if its owner dies.
   */
  static constexpr Duration kMinBatchInterval = std::chrono::milliseconds(250);
  static constexpr Duration kResendInterval = std::chrono::seconds(1);
  static constexpr size_t kBatchFlows = 200;
  /** Maximum number of flows that are added to a datagram of the replication log. */
  static constexpr size_t kMaxPiggybackedFlows = 50;
  /**
   * Ended flows remain listed. The list is renewed once its length exceeds twice the number of live
   * flows plus this number.
   */
  static constexpr size_t kMaxEndedFlows = 4096;

  /** Starts a new list for a replica that has none. */
  void restart(std::vector<FlowFingerprint> all);
  /** Notifies a replica that its list is no longer complete. */
  void revoke();
  /** Stops sending until restart(), because the current replica, if any, has no list. */
  void stop() { state_ = State::kStopped; }
  /** Appends a placed flow; ignored unless running. */
  void add(FlowFingerprint fingerprint);
  /** Sends all pending flows without the batch delay, since a host may have started to drain. */
  void requestFlush() { flushRequested_ = true; }

  /**
   * @return the batch to send now, if any; its bytes are charged to one of the budgets. @param
   * listBudget additional budget for batches with flows that existed when the list was started.
   */
  std::optional<KnownFlowBatch> poll(TimePoint now, ByteBudget& budget, ByteBudget& listBudget);
  /**
   * @return all pending flows, to be added to a datagram that is sent in any case and accounts for
   * the fixed part; nothing if they do not fit, a batch is in flight, or the budget is
   * insufficient.
   */
  std::optional<KnownFlowBatch> takePiggybackBatch(TimePoint now, ByteBudget& budget);
  /** @param next first number that the replica lacks. */
  void onAck(uint32_t next);

  bool running() const { return state_ == State::kRunning; }
  /** @return whether most of the sent flows have ended. */
  bool needsRenewal(size_t liveFlows) const;

 private:
  enum class State : uint8_t { kStopped, kRunning, kRevoked };

  void resetNumbering();
  /** Builds a batch of the first `count` pending flows and marks it as in flight. */
  KnownFlowBatch makeBatch(TimePoint now, size_t count);
  uint32_t end() const { return first_ + static_cast<uint32_t>(waiting_.size()); }

  State state_ = State::kStopped;
  /** Number of the first fingerprint of the list; numbers are never reused. */
  uint32_t start_ = 0;
  /** Number of waiting_.front(), the first unacknowledged flow. */
  uint32_t first_ = 0;
  std::deque<FlowFingerprint> waiting_;
  /** Number of the first flow that was placed after the list was started. */
  uint32_t firstPlacedNumber_ = 0;
  /** The replica has acknowledged the list. */
  bool announced_ = false;
  bool inFlight_ = false;
  bool flushRequested_ = false;
  TimePoint lastSend_{};
};

/** Replica side. Not thread safe. */
class KnownFlowCopy {
 public:
  void onBatch(const KnownFlowBatch& batch);
  void reset();
  /** @return the first missing number. */
  uint32_t next() const { return next_; }
  /**
   * @return all flows that the owner had listed by its latest batch; nothing while some are
   * missing.
   */
  std::optional<std::vector<FlowFingerprint>> complete() const;

 private:
  uint32_t start_ = 0;
  uint32_t next_ = 0;
  uint32_t end_ = 0;
  std::vector<FlowFingerprint> fingerprints_;
};

}  // namespace umberhold
