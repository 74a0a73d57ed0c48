/** @file Expiry of idle flows, in increments, and eviction of flows from a full FlowTable. */
#include <algorithm>

#include "common/flow/flow_shard.h"
#include "common/flow/flow_table.h"

namespace umberhold {
namespace {

/** Slots scanned per tick; segments are scanned as a whole, so it may be up to one segment more. */
constexpr size_t kSweepSlots = 1024;
/** Maximum number of segments visited per tick, including empty ones. */
constexpr size_t kSweepSegments = 512;
/** Number of slots that the search for a flow to evict compares before it takes the best one. */
constexpr size_t kEvictionSample = 64;
/** Number of slots (and segments) after which the search for a flow to evict gives up. */
constexpr size_t kMaxEvictionScan = 16384;
/** Time after which a lone datagram no longer counts against the limit of its source. */
constexpr uint32_t kFirstDatagramSeconds = 10;

}  // namespace

void FlowTable::tick(TimePoint now) {
  const uint64_t segments = shards_.size() * kSegmentsOfShard;
  size_t slots = 0;
  for (size_t step = 0; step < std::min<uint64_t>(segments, kSweepSegments); ++step) {
    if (slots >= kSweepSlots) {
      return;
    }
    sweepCursor_ = (sweepCursor_ + 1) % segments;
    const auto shardSlot = static_cast<uint32_t>(sweepCursor_ / kSegmentsOfShard);
    if (shards_[shardSlot]) {
      FlowSegment& segment = shards_[shardSlot]->segments[sweepCursor_ % kSegmentsOfShard];
      slots += sweepSegment(shardSlot, segment, secondsOf(now));
    }
  }
}

size_t FlowTable::sweepSegment(uint32_t shardSlot, FlowSegment& segment, uint32_t nowSeconds) {
  Shard& shard = shardAt(shardSlot);
  const size_t slots = segment.slotCount();
  for (size_t index = 0; index < slots;) {
    FlowSlot& slot = segment.at(index);
    if (slot.occupied != 0 && isExpired(shard, slot, nowSeconds)) {
      const bool closed = !isOpen(slot.flowState());
      removeFlow(shardSlot, segment, index, nowSeconds,
                 closed ? RemovalCause::kClosed : RemovalCause::kIdle);
      continue;  // another flow may have moved to this index
    }
    if (slot.occupied != 0 && slot.flowState() == FlowState::kFirstDatagram &&
        idleSecondsOf(slot, nowSeconds) >= kFirstDatagramSeconds) {
      changeState(shard, slot, FlowState::kLoneDatagram);
    }
    ++index;
  }
  segment.shrink(options_.seed);
  return slots;
}

bool FlowTable::isExpired(const Shard& shard, const FlowSlot& slot, uint32_t nowSeconds) const {
  uint32_t timeout = shard.idleTimeoutSeconds;
  switch (slot.flowState()) {
    case FlowState::kOpening:
      timeout = std::min(timeout, options_.openingTimeoutSeconds);
      break;
    case FlowState::kClosing:
      timeout = std::min(timeout, options_.closingTimeoutSeconds);
      break;
    case FlowState::kReset:
      timeout = std::min(timeout, options_.resetTimeoutSeconds);
      break;
    case FlowState::kFirstDatagram:
    case FlowState::kLoneDatagram:
    case FlowState::kEstablished:
      break;
  }
  return idleSecondsOf(slot, nowSeconds) >= timeout;
}

/** The best flow to evict found so far. */
struct FlowTable::Victim {
  uint32_t shardSlot = 0;
  FlowSegment* segment = nullptr;
  size_t index = 0;
  int rank = 0;
  uint32_t idleSeconds = 0;
  /** Number of slots and segments scanned. */
  size_t scanned = 0;
};

bool FlowTable::evictOne(uint32_t nowSeconds) {
  if (stats_.byState[static_cast<size_t>(FlowState::kEstablished)] == stats_.flows) {
    return false;
  }
  Victim victim;
  while (victim.scanned < kMaxEvictionScan &&
         (victim.rank == 0 || victim.scanned < kEvictionSample)) {
    scanForVictim(victim, nowSeconds);
  }
  if (victim.rank == 0) {
    return false;
  }
  removeFlow(victim.shardSlot, *victim.segment, victim.index, nowSeconds, RemovalCause::kTableFull);
  return true;
}

void FlowTable::scanForVictim(Victim& victim, uint32_t nowSeconds) {
  const size_t shardSlot = evictionSegment_ / kSegmentsOfShard;
  FlowSegment* segment = nullptr;
  if (shardSlot < shards_.size() && shards_[shardSlot]) {
    segment = &shards_[shardSlot]->segments[evictionSegment_ % kSegmentsOfShard];
  }
  const size_t slots = segment == nullptr ? 0 : segment->slotCount();
  const size_t end = std::min(slots, evictionIndex_ + kEvictionSample);
  for (; evictionIndex_ < end; ++evictionIndex_) {
    const FlowSlot& slot = segment->at(evictionIndex_);
    const uint32_t idle = idleSecondsOf(slot, nowSeconds);
    const int rank = slot.occupied == 0 ? 0 : evictionRank(slot.flowState(), idle);
    ++victim.scanned;
    if (rank > victim.rank || (rank == victim.rank && rank > 0 && idle > victim.idleSeconds)) {
      const size_t scanned = victim.scanned;
      victim =
          Victim{static_cast<uint32_t>(shardSlot), segment, evictionIndex_, rank, idle, scanned};
    }
  }
  if (evictionIndex_ >= slots) {
    ++victim.scanned;
    evictionIndex_ = 0;
    evictionSegment_ = (evictionSegment_ + 1) % (shards_.size() * kSegmentsOfShard);
  }
}

}  // namespace umberhold
