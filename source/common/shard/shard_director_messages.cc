/** @file Message handling and load sharing of ShardDirector. */
#include <type_traits>
#include <unordered_set>

#include "common/shard/shard_director.h"

namespace umberhold {

bool ShardDirector::onMessage(TimePoint now, const Endpoint& from, NodeId sender,
                              const Message& message) {
  detectPause(now);
  context_.recordSender(sender, from);
  now_ = std::max(now_, now);
  return std::visit(
      [&](const auto& body) {
        if constexpr (requires { this->handle(now, sender, body); }) {
          handle(now, sender, body);
          return true;
        } else {
          return false;
        }
      },
      message.body);
}

void ShardDirector::handle(TimePoint now, NodeId sender, const TakeoverRequest& request) {
  if (LocalShard* shard = find(request.shard)) {
    shard->onTakeoverRequest(now, sender, request);
    return;
  }
  TakeoverReply nothing;
  nothing.shard = request.shard;
  nothing.attempt = request.attempt;
  nothing.memberDied = context_.memberDied;
  nothing.mayHaveRivals = context_.mayHaveRivals(now);
  context_.send(sender, nothing);
}

void ShardDirector::handle(TimePoint now, NodeId sender, const TakeoverReply& reply) {
  if (LocalShard* shard = find(reply.shard)) {
    shard->onTakeoverReply(now, sender, reply);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const SnapshotChunk& chunk) {
  LocalShard* shard =
      chunk.purpose == SnapshotPurpose::kReplica ? findOrMake(now, chunk.shard) : find(chunk.shard);
  if (shard != nullptr) {
    shard->onSnapshotChunk(now, sender, chunk);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const SnapshotAck& ack) {
  if (LocalShard* shard = find(ack.shard)) {
    shard->onSnapshotAck(now, sender, ack);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const ReplicaAppend& batch) {
  if (LocalShard* shard = findOrMake(now, batch.shard)) {
    shard->onReplicaAppend(now, sender, batch);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const ReplicaAck& ack) {
  if (LocalShard* shard = find(ack.shard)) {
    shard->onReplicaAck(now, sender, ack);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const OwnershipNotice& notice) {
  const auto assignment = map_.lookup(notice.shard);
  const bool assignedToSelf = assignment && assignment->owner == context_.self();
  LocalShard* shard = assignedToSelf ? findOrMake(now, notice.shard) : find(notice.shard);
  if (shard != nullptr) {
    shard->onOwnershipNotice(now, sender, notice);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const LoadShare& share) {
  if (LocalShard* shard = find(share.shard)) {
    shard->onOwnerAnnounced(now, sender, share.epoch);
  }
  if (ServicePlacement* placement = placementOf(share.shard.service)) {
    placement->onLoadShare(now, share);
  }
}

void ShardDirector::handle(TimePoint now, NodeId sender, const PermitRequest& request) {
  const LocalShard* lender = find(ShardId{request.shard.service, request.lender});
  ServicePlacement* placement = placementOf(request.shard.service);
  if (lender == nullptr || lender->role() != ShardRole::kOwner || placement == nullptr) {
    return;
  }
  if (const auto grant = placement->onPermitRequest(now, request)) {
    context_.send(sender, *grant);
  }
}

void ShardDirector::handle(TimePoint now, NodeId /*sender*/, const PermitGrant& grant) {
  if (ServicePlacement* placement = placementOf(grant.to.service)) {
    placement->onPermitGrant(now, grant);
  }
}

void ShardDirector::sendToPeerOwners(const LocalShard& shard, const ShardId& id,
                                     const LoadShare& share) {
  std::unordered_set<NodeId> receivers;
  const Service* service = services_.find(id.service);
  const uint16_t shardCount = service == nullptr ? 0 : service->shardCount;
  for (uint16_t index = 0; index < shardCount; ++index) {
    if (const auto assignment = map_.lookup(ShardId{id.service, index})) {
      receivers.insert(assignment->owner);
    }
  }
  if (shard.replicaNode()) {
    receivers.insert(*shard.replicaNode());
  }
  receivers.erase(context_.self());
  for (const NodeId& receiver : receivers) {
    context_.send(receiver, share);
  }
}

void ShardDirector::shareLoads(TimePoint now) {
  for (const auto& [id, shard] : shards_) {
    if (shard->role() != ShardRole::kOwner) {
      continue;
    }
    ServicePlacement& placement = *placementOf(id.service);
    if (!placement.loadShareDue(now, id)) {
      continue;
    }
    for (const LoadShare& share : placement.makeLoadShare(now, id, shard->epoch())) {
      sendToPeerOwners(*shard, id, share);
    }
  }
}

void ShardDirector::requestPermits(TimePoint now) {
  for (const auto& [id, runtime] : runtimes_) {
    for (const auto& due : runtime->placement->duePermitRequests(now)) {
      if (const auto assignment = map_.lookup(due.to)) {
        context_.send(assignment->owner, due.request);
      }
    }
  }
}

}  // namespace umberhold
