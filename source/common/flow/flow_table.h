/**
 * @file The flows of one node: which host each flow of each owned shard was given.
 *
 * Sized for 500,000 flows at 16 bytes a slot. Each shard has its own segments (open addressing,
 * linear probing, backward-shift deletion), so that a shard is listed or dropped without touching
 * the others. A segment grows and shrinks by itself; no call ever moves more than one segment
 * (about 1/64 of a shard). Slots are chosen by a per-process secret, so that chosen tuples can't
 * lengthen the probes.
 */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "common/base/result.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/flow/drop_reason.h"
#include "common/flow/flow_key.h"
#include "common/flow/flow_state.h"
#include "common/flow/source_limiter.h"

namespace umberhold {

class FlowSegment;
struct FlowSlot;

/** Why the table forgot a flow by itself. */
enum class RemovalCause : uint8_t { kIdle, kClosed, kPressure };

/** One flow, as callers of the table see it. */
struct FlowEntry {
  FlowHash flow;
  /** Index of the host in its shard; the shard logic gives it its meaning. */
  uint16_t hostSlot = 0;
  FlowState state = FlowState::kOpening;
  /** The host is not the one that the base table names; set by the shard logic. */
  bool exception = false;
  uint32_t idleSeconds = 0;
};

/** A flow to be entered. */
struct NewFlow {
  uint32_t shardSlot = 0;
  FlowHash flow;
  uint16_t hostSlot = 0;
  bool exception = false;
  /** Phase of the packet that brings the flow; kContinuing enters it as established. */
  PacketPhase phase = PacketPhase::kOpening;
  /** Address of the caller, host byte order. */
  uint32_t callerAddress = 0;
};

/** Called for flows that the table forgets by itself; not by erase() and removeShard(). */
class FlowTableObserver {
 public:
  virtual ~FlowTableObserver() = default;
  /** Must not change the table. */
  virtual void onFlowRemoved(uint32_t shardSlot, const FlowEntry& entry, RemovalCause cause) = 0;
};

/** Sizes and times of a table. */
struct FlowTableOptions {
  /** Most flows over all shards. */
  uint32_t capacity = 500000;
  /** Secret of the slot choice; random in each process. */
  uint64_t seed = 0;
  /**
   * Idle time after the caller's FIN. The host's direction isn't seen: a half-closed flow may
   * receive its answer for long, but then the caller's acknowledgements keep it fresh.
   */
  uint32_t closingTimeoutSeconds = 60;
  /** Idle time after a RST; covers packets that were overtaken by it. */
  uint32_t resetTimeoutSeconds = 10;
  /** Idle time while only SYNs were seen; above the longest usual gap between repeats (64 s). */
  uint32_t openingTimeoutSeconds = 75;
  SourceLimits sourceLimits;
};

/** Flow counts of one host within one shard. */
struct HostFlowCounts {
  /** Opening, datagram and established flows. */
  uint32_t open = 0;
  /** Closing and reset flows that are still remembered. */
  uint32_t closing = 0;
};

/** Flow counts of the whole table, by state. */
struct FlowTableStats {
  uint32_t flows = 0;
  /** Flows by FlowState. */
  std::array<uint32_t, kFlowStates> byState = {};
  uint64_t forgottenIdle = 0;
  uint64_t forgottenClosed = 0;
  uint64_t forgottenUnderPressure = 0;
  /** Bytes of all slots, used or not. */
  uint64_t slotBytes = 0;
};

/** The table. Not thread safe. */
class FlowTable {
 public:
  explicit FlowTable(FlowTableOptions options);
  ~FlowTable();
  FlowTable(const FlowTable&) = delete;
  FlowTable& operator=(const FlowTable&) = delete;

  /** @param observer borrowed; may be nullptr. */
  void setObserver(FlowTableObserver* observer) { observer_ = observer; }

  /** @return the slot of a new, empty shard; slots of removed shards are used again. */
  uint32_t addShard(uint32_t idleTimeoutSeconds);
  /** Drops a shard with all its flows. */
  void removeShard(uint32_t shardSlot);
  /** Takes effect for the flows that are already there, too. */
  void setIdleTimeout(uint32_t shardSlot, uint32_t seconds);

  /**
   * Enters a flow, or moves the one that is there to the given host.
   * @return kFloodLimited where its source has too many flows that only began; kFlowTableFull where
   * the table is full and no reset, closing or merely begun flow could be given up.
   */
  Result<Ok, DropReason> insert(TimePoint now, const NewFlow& flow);
  /** @return the flow, unchanged. */
  std::optional<FlowEntry> find(TimePoint now, uint32_t shardSlot, FlowHash flow) const;
  /** Finds the flow of a packet, marks it as seen and follows its phase; `idleSeconds` is as
   * before. */
  std::optional<FlowEntry> touch(TimePoint now, uint32_t shardSlot, FlowHash flow,
                                 PacketPhase phase);
  /** Moves a flow to another host slot or changes its exception mark. @return whether it was there.
   */
  bool setHost(uint32_t shardSlot, FlowHash flow, uint16_t hostSlot, bool exception);
  /** @return whether the flow was there. */
  bool erase(uint32_t shardSlot, FlowHash flow);

  /** Visits every flow of a shard; the visitor must not change the table. */
  void forEach(TimePoint now, uint32_t shardSlot,
               const std::function<void(const FlowEntry&)>& visitor) const;

  /** @return flows of a shard. */
  uint32_t flowCount(uint32_t shardSlot) const;
  /** @return flows of a shard on one host. */
  HostFlowCounts hostCounts(uint32_t shardSlot, uint16_t hostSlot) const;
  FlowTableStats stats() const;

  /** Forgets idle flows in a bounded part of the table; call about every 10 ms. */
  void tick(TimePoint now);

 private:
  struct Shard;

  Shard& shardAt(uint32_t shardSlot);
  const Shard& shardAt(uint32_t shardSlot) const;
  FlowSegment& segmentOf(Shard& shard, uint64_t position) const;
  bool makeRoom(uint32_t nowSeconds);
  struct Victim;
  void compareRun(Victim& victim, uint32_t nowSeconds);
  void eraseAt(Shard& shard, FlowSegment& segment, size_t index);
  void forget(uint32_t shardSlot, FlowSegment& segment, size_t index, uint32_t nowSeconds,
              RemovalCause cause);
  size_t sweepSegment(uint32_t shardSlot, FlowSegment& segment, uint32_t nowSeconds);
  bool isExpired(const Shard& shard, const FlowSlot& slot, uint32_t nowSeconds) const;
  void changeState(Shard& shard, FlowSlot& slot, FlowState state);
  void count(Shard& shard, const FlowSlot& slot, int change);
  void releaseSource(const FlowSlot& slot);

  FlowTableOptions options_;
  SourceLimiter sources_;
  FlowTableObserver* observer_ = nullptr;
  std::vector<std::unique_ptr<Shard>> shards_;
  FlowTableStats stats_;
  /** Where the next tick and the next search for room go on. */
  uint64_t sweepCursor_ = 0;
  uint64_t pressureSegment_ = 0;
  size_t pressureIndex_ = 0;
};

}  // namespace umberhold
