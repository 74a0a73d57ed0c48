/** @file How FlowTable forgets flows by itself: idle ones a part at a time, and under pressure. */
#include <algorithm>

#include "common/flow/flow_shard.h"
#include "common/flow/flow_table.h"

namespace umberhold {
namespace {

/** Slots that one tick looks at; whole segments, so up to one segment more. */
constexpr size_t kSweepSlots = 1024;
/** Segments without any slot that one tick passes over. */
constexpr size_t kSweepSegments = 512;
/** Slots that the search for room compares before it takes the best of them. */
constexpr size_t kPressureSample = 64;
/** Slots (and empty segments) after which the search for room gives up. */
constexpr size_t kPressureLimit = 16384;
/** After this a lone datagram no longer counts against its source. */
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
      forget(shardSlot, segment, index, nowSeconds,
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

/** The flow to give up that the search has found so far. */
struct FlowTable::Victim {
  uint32_t shardSlot = 0;
  FlowSegment* segment = nullptr;
  size_t index = 0;
  int rank = 0;
  uint32_t idleSeconds = 0;
  /** Slots and segments looked at. */
  size_t seen = 0;
};

bool FlowTable::makeRoom(uint32_t nowSeconds) {
  if (stats_.byState[static_cast<size_t>(FlowState::kEstablished)] == stats_.flows) {
    return false;
  }
  Victim victim;
  while (victim.seen < kPressureLimit && (victim.rank == 0 || victim.seen < kPressureSample)) {
    compareRun(victim, nowSeconds);
  }
  if (victim.rank == 0) {
    return false;
  }
  forget(victim.shardSlot, *victim.segment, victim.index, nowSeconds, RemovalCause::kPressure);
  return true;
}

void FlowTable::compareRun(Victim& victim, uint32_t nowSeconds) {
  const size_t shardSlot = pressureSegment_ / kSegmentsOfShard;
  FlowSegment* segment = nullptr;
  if (shardSlot < shards_.size() && shards_[shardSlot]) {
    segment = &shards_[shardSlot]->segments[pressureSegment_ % kSegmentsOfShard];
  }
  const size_t slots = segment == nullptr ? 0 : segment->slotCount();
  const size_t end = std::min(slots, pressureIndex_ + kPressureSample);
  for (; pressureIndex_ < end; ++pressureIndex_) {
    const FlowSlot& slot = segment->at(pressureIndex_);
    const uint32_t idle = idleSecondsOf(slot, nowSeconds);
    const int rank = slot.occupied == 0 ? 0 : giveUpRank(slot.flowState(), idle);
    ++victim.seen;
    if (rank > victim.rank || (rank == victim.rank && rank > 0 && idle > victim.idleSeconds)) {
      const size_t seen = victim.seen;
      victim = Victim{static_cast<uint32_t>(shardSlot), segment, pressureIndex_, rank, idle, seen};
    }
  }
  if (pressureIndex_ >= slots) {
    ++victim.seen;
    pressureIndex_ = 0;
    pressureSegment_ = (pressureSegment_ + 1) % (shards_.size() * kSegmentsOfShard);
  }
}

}  // namespace umberhold
