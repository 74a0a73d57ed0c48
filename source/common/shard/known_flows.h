/**
 * @file Which flows of a UDP shard exist, as short fingerprints.
 *
 * No UDP packet says that it is the first of its flow. An owner that took over after a death tells
 * new flows from old ones by the fingerprints that its predecessor had sent to its replica. A
 * fingerprint that two flows share makes a new flow count as old, never an old one as new.
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

/** 32 bits of a flow's hash: of 100,000 flows, 2 in 100,000 new ones look like one of them. */
using FlowFingerprint = uint32_t;

FlowFingerprint fingerprintOf(FlowHash flow);

/** Fingerprints of all flows that existed at one time. Never changes. */
class KnownFlowSet {
 public:
  explicit KnownFlowSet(std::vector<FlowFingerprint> fingerprints);

  bool contains(FlowHash flow) const;
  /** @return the fingerprints in ascending order. */
  const std::vector<FlowFingerprint>& list() const { return sorted_; }

 private:
  std::vector<FlowFingerprint> sorted_;
};

/** The owner's side: tells the replica of every flow, in order, acknowledged. Not thread safe. */
class KnownFlowStream {
 public:
  /** A batch that is not full waits for more flows for this long, where bytes are scarce. */
  static constexpr Duration kPartialBatchDelay = std::chrono::seconds(3);
  /** Between two full batches, or any two where bytes are ample: until the replica has heard of a
   * flow, the death of its owner makes it look new. */
  static constexpr Duration kMinimumBatchInterval = std::chrono::milliseconds(250);
  static constexpr Duration kResendInterval = std::chrono::seconds(1);
  static constexpr size_t kBatchFlows = 200;
  /** Flows that go along with a datagram of the replication log. */
  static constexpr size_t kMaximumPiggybackedFlows = 50;
  /** Flows that ended are still listed; beyond twice the living ones and this the list is renewed.
   */
  static constexpr size_t kMaximumEndedFlows = 4096;

  /** Starts again with a replica that knows nothing. */
  void restart(std::vector<FlowFingerprint> all);
  /** Tells a replica that has a list that this can't be relied upon any longer. */
  void revoke();
  /** The replica is lost. */
  void stop() { state_ = State::kStopped; }
  /** A flow was placed; ignored unless running. */
  void add(FlowFingerprint fingerprint);
  /** What waits must be sent at once: a host may have begun to drain. */
  void requestFlush() { flushRequested_ = true; }

  /**
   * @return the batch to send now, if any; its bytes are taken from a budget.
   * @param lists may pay, too, for flows that existed when the list was started.
   */
  std::optional<KnownFlowBatch> poll(TimePoint now, ByteBudget& budget, ByteBudget& lists);
  /**
   * @return what waits, for a datagram that leaves in any case and pays for the fixed part; nothing
   * where it does not fit, a batch is on the way, or the budget has not the bytes.
   */
  std::optional<KnownFlowBatch> takePiggybackBatch(TimePoint now, ByteBudget& budget);
  /** @param next first number that the replica lacks. */
  void onAck(uint32_t next);

  bool running() const { return state_ == State::kRunning; }
  /** @return whether most of the flows that were sent have ended. */
  bool needsRenewal(size_t livingFlows) const;

 private:
  enum class State : uint8_t { kStopped, kRunning, kRevoked };

  void resetNumbering();
  /** The first so many that wait are on their way from now on. */
  KnownFlowBatch makeBatch(TimePoint now, size_t count);
  uint32_t end() const { return first_ + static_cast<uint32_t>(waiting_.size()); }

  State state_ = State::kStopped;
  /** Number of the first fingerprint of the list; numbers are never used again. */
  uint32_t start_ = 0;
  /** Number of waiting_.front(), the first that is not acknowledged. */
  uint32_t first_ = 0;
  std::deque<FlowFingerprint> waiting_;
  /** Number of the first flow that was placed after the list was started. */
  uint32_t firstPlacedNumber_ = 0;
  /** The replica has heard of the list. */
  bool announced_ = false;
  bool inFlight_ = false;
  bool flushRequested_ = false;
  TimePoint lastSend_{};
};

/** The replica's side. Not thread safe. */
class KnownFlowCopy {
 public:
  void onBatch(const KnownFlowBatch& batch);
  void reset();
  /** @return the first number that is lacking. */
  uint32_t next() const { return next_; }
  /** @return all flows of which the owner had heard when it sent last, or nothing. */
  std::optional<std::vector<FlowFingerprint>> complete() const;

 private:
  uint32_t start_ = 0;
  uint32_t next_ = 0;
  uint32_t end_ = 0;
  std::vector<FlowFingerprint> fingerprints_;
};

}  // namespace umberhold
