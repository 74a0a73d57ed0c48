#include "common/shard/replica_copy.h"

#include <tuple>

namespace umberhold {

bool ReplicaCopy::outranks(uint32_t epoch, NodeId sender) const {
  // Two owners of the same epoch cannot reach each other; the copy follows the one with the higher
  // identifier.
  return std::tie(epoch_, owner_) > std::tie(epoch, sender);
}

ReplicaAck ReplicaCopy::onAppend(TimePoint now, NodeId sender, const ReplicaAppend& batch) {
  if (outranks(batch.epoch, sender)) {
    return ReplicaAck{batch.shard, epoch_, 0, false, owner_, 0};
  }
  lastOwnerMessage_ = now;
  const bool follows = synchronised_ && batch.epoch == epoch_ && sender == owner_;
  if (!follows) {
    return ReplicaAck{batch.shard, batch.epoch, 0, true, NodeId{}, 0};
  }
  apply(now, batch);
  known_.onBatch(batch.known);
  return ReplicaAck{batch.shard, epoch_, nextSequence_, false, NodeId{}, known_.next()};
}

void ReplicaCopy::apply(TimePoint now, const ReplicaAppend& batch) {
  const auto count =
      static_cast<uint32_t>(batch.added.size() + batch.removed.size() + batch.refused.size());
  const bool gap = batch.sequence > nextSequence_;
  const bool nothingNew = batch.sequence + count <= nextSequence_;
  if (gap || nothingNew) {
    return;
  }
  // Changes that are already applied are applied again: the last change of each flow decides.
  for (const FlowException& exception : batch.added) {
    if (exception.host < batch.hosts.size()) {
      pinned_[exception.flow] = batch.hosts[exception.host];
    }
  }
  for (const FlowHash& flow : batch.removed) {
    pinned_.erase(flow);
  }
  for (const FlowHash& flow : batch.refused) {
    refused_.record(now, flow);
  }
  nextSequence_ = batch.sequence + count;
  outdated_ = false;
}

std::optional<SnapshotAck> ReplicaCopy::onChunk(TimePoint now, NodeId sender,
                                                const SnapshotChunk& chunk) {
  if (outranks(chunk.epoch, sender)) {
    return std::nullopt;
  }
  lastOwnerMessage_ = now;
  const bool alreadyInstalled = synchronised_ && chunk.epoch == epoch_ && sender == owner_ &&
                                chunk.attempt <= installedAttempt_;
  if (alreadyInstalled) {
    return SnapshotAck{chunk.shard, chunk.purpose, chunk.attempt, chunk.chunks};
  }
  const bool isNewSnapshot = !incoming_ || incoming_->owner != sender ||
                             incoming_->epoch != chunk.epoch || incoming_->attempt != chunk.attempt;
  if (isNewSnapshot) {
    if (incoming_ && incoming_->owner == sender && incoming_->epoch == chunk.epoch &&
        incoming_->attempt > chunk.attempt) {
      return std::nullopt;
    }
    incoming_.emplace(IncomingSnapshot{sender, chunk.epoch, chunk.attempt, {}});
  }
  incoming_->assembler.accept(chunk);
  const SnapshotAck answer{chunk.shard, chunk.purpose, chunk.attempt, incoming_->assembler.next()};
  if (incoming_->assembler.complete()) {
    if (owner_ != sender || epoch_ != chunk.epoch) {
      known_.reset();
    }
    owner_ = sender;
    installedAttempt_ = chunk.attempt;
    install(now, incoming_->assembler.assemble());
    incoming_.reset();
  }
  return answer;
}

void ReplicaCopy::install(TimePoint now, const ShardContent& content) {
  epoch_ = content.epoch;
  nextSequence_ = content.sequence;
  base_ = content.base;
  pinned_.clear();
  for (const PinnedFlow& pinned : content.pinned) {
    pinned_[pinned.flow] = pinned.host;
  }
  refused_.clear();
  for (const FlowHash& flow : content.refused) {
    refused_.record(now, flow);
  }
  synchronised_ = true;
  outdated_ = false;
}

ShardContent ReplicaCopy::content() const {
  ShardContent content;
  content.epoch = epoch_;
  content.sequence = nextSequence_;
  // Flows that follow the base table are not replicated, so a replica never lists all flows.
  content.knowsAllFlows = false;
  content.base = base_;
  for (const auto& [flow, host] : pinned_) {
    content.pinned.push_back(PinnedFlow{flow, host});
  }
  content.refused = refused_.list();
  if (!outdated_) {
    content.oldFlows = known_.complete();
  }
  return content;
}

void ReplicaCopy::retainHosts(const std::function<bool(HostId)>& usable) {
  std::erase_if(base_, [&](const BaseHost& entry) { return !usable(entry.host); });
  std::erase_if(pinned_, [&](const auto& entry) { return !usable(entry.second); });
}

}  // namespace umberhold
