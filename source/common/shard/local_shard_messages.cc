/** @file Takeover and snapshot messages of LocalShard. */
#include <algorithm>
#include <tuple>
#include <utility>

#include "common/shard/local_shard.h"

namespace umberhold {

void LocalShard::onTakeoverRequest(TimePoint now, NodeId sender, const TakeoverRequest& request) {
  highestEpochSeen_ = std::max(highestEpochSeen_, request.epoch);
  TakeoverReply reply;
  reply.shard = id_;
  reply.attempt = request.attempt;
  reply.acquiring = role_ == ShardRole::kAcquiring;
  reply.memberDied = context_.memberDied;
  reply.mayHaveRivals = context_.mayHaveRivals(now);
  if (role_ == ShardRole::kOwner) {
    const auto assignment = context_.map.lookup(id_);
    const bool yields =
        context_.leaving || (assignment && assignment->owner == sender) || request.epoch > epoch_;
    if (yields) {
      release(now, sender);
    }
    reply.role = yields ? HeldRole::kOwner : HeldRole::kStillOwner;
    reply.epoch = epoch_;
  } else {
    if (hasState_ && context_.isDead(successor_)) {
      successor_ = sender;
    }
    const HeldState state = held(now);
    reply.role = state.role;
    reply.epoch = state.epoch;
    reply.sequence = state.sequence;
    reply.successor = state.role == HeldRole::kReplica ? replica_->owner() : successor_;
  }
  context_.send(sender, reply);
}

void LocalShard::onTakeoverReply(TimePoint now, NodeId sender, const TakeoverReply& reply) {
  if (takeover_) {
    takeover_->onReply(now, sender, reply);
  }
}

void LocalShard::onOwnerAnnounced(TimePoint now, NodeId owner, uint32_t epoch) {
  highestEpochSeen_ = std::max(highestEpochSeen_, epoch);
  lastKnownOwner_ = owner;
  if (takeover_) {
    takeover_->onOwnerAnnounced(now, owner, epoch);
  }
  if (role_ == ShardRole::kOwner &&
      std::make_tuple(epoch, owner) > std::make_tuple(epoch_, context_.self())) {
    fence(now, owner, epoch);
  } else if (holdsReleasedState() && epoch > epoch_) {
    handedOver_ = true;
    successor_ = owner;
  }
}

void LocalShard::onOwnershipNotice(TimePoint now, NodeId sender, const OwnershipNotice& notice) {
  onOwnerAnnounced(now, sender, notice.epoch);
  if (role_ == ShardRole::kOwner && notice.holdsFlows) {
    invalidateKnownFlows(now);
  } else if (role_ == ShardRole::kOwner) {
    context_.send(sender, OwnershipNotice{id_, epoch_, false});
  }
}

std::optional<ShardContent> LocalShard::heldContent(TimePoint now) const {
  const HeldState state = held(now);
  if (state.role == HeldRole::kReplica) {
    return replica_->content();
  }
  if (state.role == HeldRole::kReleased && role_ != ShardRole::kOwner) {
    return content(now, true);
  }
  return std::nullopt;
}

void LocalShard::onSnapshotAck(TimePoint now, NodeId sender, const SnapshotAck& ack) {
  if (ack.purpose == SnapshotPurpose::kReplica) {
    const bool current =
        replicaSnapshot_ && replicaNode_ == sender && replicaSnapshot_->attempt() == ack.attempt;
    if (role_ == ShardRole::kOwner && current) {
      replicaSnapshot_->onAck(now, ack.next);
    }
    return;
  }
  auto session = takeoverSenders_.find(sender);
  const bool isNewTransfer =
      session == takeoverSenders_.end() || session->second->attempt() != ack.attempt;
  if (isNewTransfer && ack.next == 0) {
    const auto state = heldContent(now);
    if (!state) {
      return;
    }
    takeoverSenders_[sender] = std::make_unique<SnapshotSender>(
        now, splitSnapshot(SnapshotIdentity{id_, SnapshotPurpose::kTakeover, ack.attempt}, *state));
    return;
  }
  if (isNewTransfer) {
    return;
  }
  session->second->onAck(now, ack.next);
  if (session->second->done() && holdsReleasedState() && sender == successor_) {
    handedOver_ = true;
  }
}

void LocalShard::onSnapshotChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk) {
  if (chunk.purpose == SnapshotPurpose::kTakeover) {
    if (takeover_) {
      takeover_->onChunk(now, sender, chunk);
    } else if (role_ == ShardRole::kOwner && chunk.attempt == attempt_) {
      // The takeover is complete; its last acknowledgement was lost.
      context_.send(sender,
                    SnapshotAck{id_, SnapshotPurpose::kTakeover, chunk.attempt, chunk.chunks});
    }
    return;
  }
  onOwnerAnnounced(now, sender, chunk.epoch);
  if (role_ == ShardRole::kOwner) {
    context_.send(sender, ReplicaAck{id_, epoch_, 0, false, context_.self(), 0});
    return;
  }
  if (!replica_) {
    replica_ = std::make_unique<ReplicaCopy>();
  }
  if (const auto ack = replica_->onChunk(now, sender, chunk)) {
    context_.send(sender, *ack);
  }
}

}  // namespace umberhold
