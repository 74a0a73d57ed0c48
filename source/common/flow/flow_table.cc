#include "common/flow/flow_table.h"

#include <algorithm>

#include "common/flow/flow_shard.h"

namespace umberhold {

FlowTable::FlowTable(FlowTableOptions options)
    : options_(options), sources_(options.sourceLimits, options.seed) {}

FlowTable::~FlowTable() = default;

FlowTable::Shard& FlowTable::shardAt(uint32_t shardSlot) {
  return *shards_[shardSlot];
}

const FlowTable::Shard& FlowTable::shardAt(uint32_t shardSlot) const {
  return *shards_[shardSlot];
}

FlowSegment& FlowTable::segmentOf(Shard& shard, uint64_t position) const {
  return shard.segments[position >> (64U - FlowSegment::kSegmentBits)];
}

uint32_t FlowTable::addShard(uint32_t idleTimeoutSeconds) {
  auto shard = std::make_unique<Shard>();
  shard->idleTimeoutSeconds = idleTimeoutSeconds;
  const auto free = std::find(shards_.begin(), shards_.end(), nullptr);
  if (free != shards_.end()) {
    *free = std::move(shard);
    return static_cast<uint32_t>(free - shards_.begin());
  }
  shards_.push_back(std::move(shard));
  return static_cast<uint32_t>(shards_.size() - 1);
}

void FlowTable::removeShard(uint32_t shardSlot) {
  Shard& shard = shardAt(shardSlot);
  for (const FlowSegment& segment : shard.segments) {
    for (size_t index = 0; index < segment.slotCount(); ++index) {
      if (segment.at(index).occupied != 0) {
        count(shard, segment.at(index), -1);
        releaseSource(segment.at(index));
      }
    }
  }
  shards_[shardSlot].reset();
}

void FlowTable::setIdleTimeout(uint32_t shardSlot, uint32_t seconds) {
  shardAt(shardSlot).idleTimeoutSeconds = seconds;
}

Result<Ok, DropReason> FlowTable::insert(TimePoint now, const NewFlow& flow) {
  Shard& shard = shardAt(flow.shardSlot);
  const uint64_t position = FlowSegment::positionOf(flow.flow, options_.seed);
  FlowSegment& segment = segmentOf(shard, position);
  if (segment.find(position, flow.flow) != FlowSegment::kNotFound) {
    touch(now, flow.shardSlot, flow.flow, flow.phase);
    setHost(flow.shardSlot, flow.flow, flow.hostSlot, flow.exception);
    return Ok{};
  }
  FlowSlot slot;
  slot.flow = flow.flow.value;
  slot.lastSeen = secondsOf(now);
  slot.state = static_cast<uint32_t>(firstState(flow.phase));
  slot.exception = flow.exception ? 1 : 0;
  slot.hostSlot = flow.hostSlot;
  slot.source = sources_.bucketOf(flow.callerAddress);
  if (isUnestablished(slot.flowState()) && !sources_.acquire(slot.source)) {
    return DropReason::kFloodLimited;
  }
  if (stats_.flows >= options_.capacity && !evictOne(slot.lastSeen)) {
    releaseSource(slot);
    return DropReason::kFlowTableFull;
  }
  segment.add(position, slot, options_.seed);
  count(shard, slot, 1);
  return Ok{};
}

std::optional<FlowEntry> FlowTable::find(TimePoint now, uint32_t shardSlot, FlowHash flow) const {
  const Shard& shard = shardAt(shardSlot);
  const uint64_t position = FlowSegment::positionOf(flow, options_.seed);
  const FlowSegment& segment = shard.segments[position >> (64U - FlowSegment::kSegmentBits)];
  const size_t index = segment.find(position, flow);
  if (index == FlowSegment::kNotFound) {
    return std::nullopt;
  }
  return entryOf(segment.at(index), secondsOf(now));
}

std::optional<FlowEntry> FlowTable::touch(TimePoint now, uint32_t shardSlot, FlowHash flow,
                                          PacketPhase phase) {
  Shard& shard = shardAt(shardSlot);
  const uint64_t position = FlowSegment::positionOf(flow, options_.seed);
  FlowSegment& segment = segmentOf(shard, position);
  const size_t index = segment.find(position, flow);
  if (index == FlowSegment::kNotFound) {
    return std::nullopt;
  }
  FlowSlot& slot = segment.at(index);
  const FlowEntry before = entryOf(slot, secondsOf(now));
  const FlowState next = nextState(before.state, phase, before.idleSeconds);
  // Packets that were reordered behind the RST don't extend the life of a reset flow.
  if (before.state != FlowState::kReset || next != FlowState::kReset) {
    slot.lastSeen = secondsOf(now);
  }
  changeState(shard, slot, next);
  FlowEntry after = entryOf(slot, secondsOf(now));
  after.idleSeconds = before.idleSeconds;
  return after;
}

bool FlowTable::setHost(uint32_t shardSlot, FlowHash flow, uint16_t hostSlot, bool exception) {
  Shard& shard = shardAt(shardSlot);
  const uint64_t position = FlowSegment::positionOf(flow, options_.seed);
  FlowSegment& segment = segmentOf(shard, position);
  const size_t index = segment.find(position, flow);
  if (index == FlowSegment::kNotFound) {
    return false;
  }
  FlowSlot& slot = segment.at(index);
  count(shard, slot, -1);
  slot.hostSlot = hostSlot;
  slot.exception = exception ? 1 : 0;
  count(shard, slot, 1);
  return true;
}

bool FlowTable::erase(uint32_t shardSlot, FlowHash flow) {
  Shard& shard = shardAt(shardSlot);
  const uint64_t position = FlowSegment::positionOf(flow, options_.seed);
  FlowSegment& segment = segmentOf(shard, position);
  const size_t index = segment.find(position, flow);
  if (index == FlowSegment::kNotFound) {
    return false;
  }
  eraseAt(shard, segment, index);
  return true;
}

void FlowTable::forEach(TimePoint now, uint32_t shardSlot,
                        const std::function<void(const FlowEntry&)>& visitor) const {
  const uint32_t nowSeconds = secondsOf(now);
  for (const FlowSegment& segment : shardAt(shardSlot).segments) {
    for (size_t index = 0; index < segment.slotCount(); ++index) {
      if (segment.at(index).occupied != 0) {
        visitor(entryOf(segment.at(index), nowSeconds));
      }
    }
  }
}

uint32_t FlowTable::flowCount(uint32_t shardSlot) const {
  return shardAt(shardSlot).flows;
}

HostFlowCounts FlowTable::hostCounts(uint32_t shardSlot, uint16_t hostSlot) const {
  const auto& hosts = shardAt(shardSlot).hosts;
  return hostSlot < hosts.size() ? hosts[hostSlot] : HostFlowCounts{};
}

FlowTableStats FlowTable::stats() const {
  FlowTableStats stats = stats_;
  for (const auto& shard : shards_) {
    if (!shard) {
      continue;
    }
    for (const FlowSegment& segment : shard->segments) {
      stats.slotBytes += segment.slotCount() * sizeof(FlowSlot);
    }
  }
  return stats;
}

void FlowTable::eraseAt(Shard& shard, FlowSegment& segment, size_t index) {
  count(shard, segment.at(index), -1);
  releaseSource(segment.at(index));
  segment.eraseAt(index, options_.seed);
}

void FlowTable::removeFlow(uint32_t shardSlot, FlowSegment& segment, size_t index,
                           uint32_t nowSeconds, RemovalCause cause) {
  const FlowEntry entry = entryOf(segment.at(index), nowSeconds);
  eraseAt(shardAt(shardSlot), segment, index);
  stats_.removedIdle += cause == RemovalCause::kIdle ? 1 : 0;
  stats_.removedClosed += cause == RemovalCause::kClosed ? 1 : 0;
  stats_.evictedWhenFull += cause == RemovalCause::kTableFull ? 1 : 0;
  if (observer_ != nullptr) {
    observer_->onFlowRemoved(shardSlot, entry, cause);
  }
}

void FlowTable::changeState(Shard& shard, FlowSlot& slot, FlowState state) {
  if (slot.flowState() == state) {
    return;
  }
  count(shard, slot, -1);
  if (isUnestablished(slot.flowState())) {
    sources_.release(slot.source);
  }
  // A caller that reopens a flow that is still in the table isn't refused: if its source is at the
  // limit, the flow is not counted.
  if (isUnestablished(state) && !sources_.acquire(slot.source)) {
    state = FlowState::kLoneDatagram;
  }
  slot.state = static_cast<uint32_t>(state);
  count(shard, slot, 1);
}

void FlowTable::count(Shard& shard, const FlowSlot& slot, int change) {
  const auto difference = static_cast<uint32_t>(change);
  if (slot.hostSlot >= shard.hosts.size()) {
    shard.hosts.resize(size_t{slot.hostSlot} + 1);
  }
  HostFlowCounts& host = shard.hosts[slot.hostSlot];
  (isOpen(slot.flowState()) ? host.open : host.closing) += difference;
  shard.flows += difference;
  stats_.flows += difference;
  stats_.byState[slot.state] += difference;
}

void FlowTable::releaseSource(const FlowSlot& slot) {
  if (isUnestablished(slot.flowState())) {
    sources_.release(slot.source);
  }
}

}  // namespace umberhold
