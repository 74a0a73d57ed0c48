/**
 * @file The flow table of a node: maps each flow of each owned shard to its host.
 *
 * Designed for 500,000 flows at 16 bytes per slot. Each shard has its own segments (open
 * addressing, linear probing, backward-shift deletion), so that a shard is listed or dropped
 * without touching the others. Segments grow and shrink individually; no call moves more than one
 * segment (about 1/64 of a shard). Slots are chosen with a per-process secret, so that an attacker
 * can't lengthen probe sequences by choosing tuples.
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

/** Why the table removed a flow on its own: idle timeout, timeout of a closing or reset flow, or
 * eviction from a full table. */
enum class RemovalCause : uint8_t { kIdle, kClosed, kTableFull };

/** A flow, as returned to callers of the table. */
struct FlowEntry {
  FlowHash flow;
  /** Index of the host in its shard; interpreted by the shard logic. */
  uint16_t hostSlot = 0;
  FlowState state = FlowState::kOpening;
  /** The host differs from the base table's default; set by the shard logic. */
  bool exception = false;
  uint32_t idleSeconds = 0;
};

/** A flow to be inserted. */
struct NewFlow {
  uint32_t shardSlot = 0;
  FlowHash flow;
  uint16_t hostSlot = 0;
  bool exception = false;
  /** Phase of the flow's first packet; kContinuing inserts it as established. */
  PacketPhase phase = PacketPhase::kOpening;
  /** Address of the caller, host byte order. */
  uint32_t callerAddress = 0;
};

/** Notified of flows that the table removes on its own; not of erase() and removeShard(). */
class FlowTableObserver {
 public:
  virtual ~FlowTableObserver() = default;
  /** Must not change the table. */
  virtual void onFlowRemoved(uint32_t shardSlot, const FlowEntry& entry, RemovalCause cause) = 0;
};

/** Sizes and timeouts of a table. */
struct FlowTableOptions {
  /** Maximum number of flows over all shards. */
  uint32_t capacity = 500000;
  /** Secret for the choice of slots; random in each process. */
  uint64_t seed = 0;
  /**
   * Idle timeout after the caller's FIN. The host's direction isn't visible: a half-closed flow may
   * receive a long answer, but then the caller's acknowledgements keep it from being idle.
   */
  uint32_t closingTimeoutSeconds = 60;
  /** Idle timeout after a RST; covers packets that were reordered behind it. */
  uint32_t resetTimeoutSeconds = 10;
  /** Idle timeout while only SYNs were seen; above the maximum usual retransmission interval (64
   * s). */
  uint32_t openingTimeoutSeconds = 75;
  SourceLimits sourceLimits;
};

/** Flow counts of one host within one shard. */
struct HostFlowCounts {
  /** Opening, datagram and established flows. */
  uint32_t open = 0;
  /** Closing and reset flows that are still in the table. */
  uint32_t closing = 0;
};

/** Flow counts of the whole table, by state. */
struct FlowTableStats {
  uint32_t flows = 0;
  /** Flows by FlowState. */
  std::array<uint32_t, kFlowStates> byState = {};
  uint64_t removedIdle = 0;
  uint64_t removedClosed = 0;
  uint64_t evictedWhenFull = 0;
  /** Memory of all slots in bytes, used or not. */
  uint64_t slotBytes = 0;
};

/** See the file comment. Not thread safe. */
class FlowTable {
 public:
  explicit FlowTable(FlowTableOptions options);
  ~FlowTable();
  FlowTable(const FlowTable&) = delete;
  FlowTable& operator=(const FlowTable&) = delete;

  /** @param observer borrowed; may be nullptr. */
  void setObserver(FlowTableObserver* observer) { observer_ = observer; }

  /** @return the slot of a new, empty shard; slots of removed shards are reused. */
  uint32_t addShard(uint32_t idleTimeoutSeconds);
  /** Removes a shard with all its flows. */
  void removeShard(uint32_t shardSlot);
  /** Also takes effect for existing flows. */
  void setIdleTimeout(uint32_t shardSlot, uint32_t seconds);

  /**
   * Inserts a flow, or moves an existing one to the given host.
   * @return kFloodLimited if its source has too many unestablished flows; kFlowTableFull if the
   * table is full and no reset, closing or unestablished flow can be evicted.
   */
  Result<Ok, DropReason> insert(TimePoint now, const NewFlow& flow);
  /** @return the flow, unchanged. */
  std::optional<FlowEntry> find(TimePoint now, uint32_t shardSlot, FlowHash flow) const;
  /** Finds the flow of a packet and updates its state and the time of its last packet. @return the
   * updated flow; its `idleSeconds` is the idle time before this packet. */
  std::optional<FlowEntry> touch(TimePoint now, uint32_t shardSlot, FlowHash flow,
                                 PacketPhase phase);
  /** Moves a flow to another host slot or changes its exception flag. @return whether the flow
   * existed.
   */
  bool setHost(uint32_t shardSlot, FlowHash flow, uint16_t hostSlot, bool exception);
  /** @return whether the flow existed. */
  bool erase(uint32_t shardSlot, FlowHash flow);

  /** Calls the visitor for every flow of a shard; it must not change the table. */
  void forEach(TimePoint now, uint32_t shardSlot,
               const std::function<void(const FlowEntry&)>& visitor) const;

  /** @return number of flows of a shard. */
  uint32_t flowCount(uint32_t shardSlot) const;
  /** @return numbers of flows of a shard on one host. */
  HostFlowCounts hostCounts(uint32_t shardSlot, uint16_t hostSlot) const;
  FlowTableStats stats() const;

  /** Removes expired flows in a bounded part of the table; to be called about every 10 ms. */
  void tick(TimePoint now);

 private:
  struct Shard;

  Shard& shardAt(uint32_t shardSlot);
  const Shard& shardAt(uint32_t shardSlot) const;
  FlowSegment& segmentOf(Shard& shard, uint64_t position) const;
  bool evictOne(uint32_t nowSeconds);
  struct Victim;
  void scanForVictim(Victim& victim, uint32_t nowSeconds);
  void eraseAt(Shard& shard, FlowSegment& segment, size_t index);
  void removeFlow(uint32_t shardSlot, FlowSegment& segment, size_t index, uint32_t nowSeconds,
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
  /** Positions at which the next tick and the next search for a flow to evict continue. */
  uint64_t sweepCursor_ = 0;
  uint64_t evictionSegment_ = 0;
  size_t evictionIndex_ = 0;
};

}  // namespace umberhold
