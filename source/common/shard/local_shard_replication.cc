/** @file Base table and replication of a LocalShard that is owner. */
#include <algorithm>
#include <tuple>
#include <utility>

#include "common/shard/local_shard.h"

namespace umberhold {
namespace {

/** Minimum interval and minimum weight change of base table updates that change only weights. */
constexpr Duration kWeightAdvanceInterval = std::chrono::minutes(5);
constexpr int kMinWeightChange = 64;

std::vector<BaseHost> sortedByHost(std::vector<BaseHost> hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [](const BaseHost& left, const BaseHost& right) { return left.host < right.host; });
  return hosts;
}

bool sameHosts(const std::vector<BaseHost>& left, const std::vector<BaseHost>& right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](const BaseHost& one, const BaseHost& other) { return one.host == other.host; });
}

/** Both lists must contain the same hosts in the same order. */
bool weightsDiffer(const std::vector<BaseHost>& left, const std::vector<BaseHost>& right) {
  for (size_t index = 0; index < left.size(); ++index) {
    if (std::abs(int{left[index].weight} - int{right[index].weight}) >= kMinWeightChange) {
      return true;
    }
  }
  return false;
}

/** Encoded size of one fingerprint in a snapshot. */
constexpr size_t kListedFlowBytes = 5;

bool hasWeight(const std::vector<BaseHost>& hosts) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [](const BaseHost& host) { return host.weight > 0; });
}

}  // namespace

std::optional<uint16_t> LocalShard::enterHost(HostId host) {
  if (service_.hosts.isGone(host, context_.unixNow)) {
    return std::nullopt;
  }
  const HostRecord* record = service_.hosts.find(host);
  return slots_.enter(host, record == nullptr ? Endpoint{} : record->endpoint);
}

bool LocalShard::isException(FlowHash flow, HostId host) const {
  return base_.defaultHost(flow) != host || (nextBase_ && nextBase_->defaultHost(flow) != host);
}

void LocalShard::setBase(TimePoint /*now*/, std::vector<BaseHost> base) {
  std::erase_if(base, [this](const BaseHost& entry) {
    return service_.hosts.isGone(entry.host, context_.unixNow);
  });
  if (!hasWeight(base)) {
    // No flow depends on a base table without hosts, so it can be replaced at any time.
    base = service_.placement->currentBase();
    log_.markReplicaLost();
  }
  base_ = BaseTable(std::move(base));
}

void LocalShard::onHostsChanged(TimePoint now) {
  for (HostSlot& slot : slots_.all()) {
    const HostRecord* record = service_.hosts.find(slot.host);
    const bool gone = service_.hosts.isGone(slot.host, context_.unixNow);
    if (record != nullptr && !slot.isResolved()) {
      slot.endpoint = record->endpoint;
    }
    const bool moved = record != nullptr && record->endpoint != slot.endpoint;
    slot.usable = slot.usable && !gone && !moved;
  }
  if (replica_) {
    replica_->retainHosts(
        [this](HostId host) { return !service_.hosts.isGone(host, context_.unixNow); });
  }
  if (role_ != ShardRole::kOwner && !hasState_) {
    return;
  }
  const size_t before = base_.hosts().size();
  setBase(now, base_.hosts());
  if (nextBase_ && base_.hosts().size() != before) {
    // The next table may contain a removed host: start over.
    nextBase_.reset();
    log_.markReplicaLost();
    replicaSnapshot_.reset();
  }
}

void LocalShard::markExceptions(TimePoint now) {
  struct Change {
    FlowEntry entry;
    bool exception;
  };
  std::vector<Change> changes;
  context_.flows.forEach(now, flowSlot_, [&](const FlowEntry& entry) {
    const bool exception = isException(entry.flow, slots_.at(entry.hostSlot).host);
    if (exception != entry.exception) {
      changes.push_back(Change{entry, exception});
    }
  });
  for (const Change& change : changes) {
    context_.flows.setHost(flowSlot_, change.entry.flow, change.entry.hostSlot, change.exception);
    if (role_ == ShardRole::kOwner && !change.exception) {
      log_.appendRemoved(now, change.entry.flow);
    }
  }
}

ShardContent LocalShard::content(TimePoint now, bool handOver) const {
  ShardContent content;
  content.epoch = epoch_;
  content.sequence = log_.nextSequence();
  content.base = nextBase_ && !handOver ? nextBase_->hosts() : base_.hosts();
  // After another node has owned the shard, flows exist that are not listed here.
  const bool latest = handOver && !handedOver_ && !fenced_;
  const bool full = latest && knowsAllFlows_ &&
                    context_.flows.flowCount(flowSlot_) <= context_.options.fullSnapshotFlows;
  content.knowsAllFlows = full;
  context_.flows.forEach(now, flowSlot_, [&](const FlowEntry& entry) {
    const HostSlot& slot = slots_.at(entry.hostSlot);
    if (slot.usable && (full || entry.exception)) {
      content.pinned.push_back(PinnedFlow{entry.flow, slot.host});
    }
  });
  content.refused = refused_.list();
  if (handOver) {
    content.permits = releasedPermits_;
  }
  const bool isUdp = service_.protocol == TransportProtocol::kUdp;
  if (isUdp && latest && !full && knowsOldFlows()) {
    auto known = listKnownFlows(now);
    const auto bytes = static_cast<double>(known.size() * kListedFlowBytes);
    if (context_.handoverListBudget.tryConsume(now, bytes)) {
      content.oldFlows = std::move(known);
    }
  }
  return content;
}

void LocalShard::tickReplication(TimePoint now) {
  chooseReplica(now);
  updateAllFlowsKnown(now);
  advanceBase(now);
  releaseOverdue(now);
  if (!replicaNode_) {
    return;
  }
  const bool snapshotLost = replicaSnapshot_ && replicaSnapshot_->failed(now);
  if (!log_.synchronised() && (!replicaSnapshot_ || snapshotLost)) {
    startReplicaSnapshot(now);
  }
  pollReplicaSnapshot(now);
  streamKnownFlows(now);
}

TimePoint LocalShard::pendingReplicationSince() const {
  return role_ == ShardRole::kOwner && replicaNode_ ? log_.oldestUrgentChangeTime()
                                                    : TimePoint::max();
}

void LocalShard::sendReplication(TimePoint now) {
  if (role_ != ShardRole::kOwner || !replicaNode_) {
    return;
  }
  auto batch = log_.poll(now, context_.replicationBudget, id_, epoch_);
  if (!batch) {
    return;
  }
  if (auto known = knownFlows_.takePiggybackBatch(now, context_.knownFlowBudget)) {
    batch->known = std::move(*known);
  }
  context_.send(*replicaNode_, std::move(*batch));
}

void LocalShard::streamKnownFlows(TimePoint now) {
  if (service_.protocol != TransportProtocol::kUdp || !log_.synchronised()) {
    return;
  }
  if (!knowsOldFlows()) {
    if (knownFlows_.running()) {
      knownFlows_.revoke();
    }
  } else {
    const size_t liveFlows =
        context_.flows.flowCount(flowSlot_) + (oldFlows_ ? oldFlows_->list().size() : 0);
    if (!knownFlows_.running() || knownFlows_.needsRenewal(liveFlows)) {
      knownFlows_.restart(listKnownFlows(now));
    }
  }
  if (auto batch = knownFlows_.poll(now, context_.knownFlowBudget, context_.completeListBudget)) {
    ReplicaAppend message{id_, epoch_, log_.firstSequence(), {}, {}, {}, {}, std::move(*batch)};
    context_.send(*replicaNode_, std::move(message));
  }
}

std::vector<FlowFingerprint> LocalShard::listKnownFlows(TimePoint now) const {
  std::vector<FlowFingerprint> known;
  if (oldFlows_) {
    known = oldFlows_->list();
  }
  context_.flows.forEach(now, flowSlot_, [&](const FlowEntry& entry) {
    if (!oldFlows_ || !oldFlows_->contains(entry.flow)) {
      known.push_back(fingerprintOf(entry.flow));
    }
  });
  return known;
}

void LocalShard::invalidateKnownFlows(TimePoint now) {
  knowsAllFlows_ = false;
  oldFlows_.reset();
  ownedSince_ = now;
}

void LocalShard::chooseReplica(TimePoint now) {
  const auto assignment = context_.map.lookup(id_);
  if (!assignment) {
    return;
  }
  const bool assignedToSelf = assignment->owner == context_.self();
  std::optional<NodeId> wanted = replicaNode_;
  if (assignedToSelf) {
    wanted = assignment->replica;
  } else if (!wanted || !context_.isReachable(*wanted)) {
    // Until the assigned owner requests the shard, it is as good a replica as any other node.
    wanted = assignment->owner;
  }
  if (wanted != replicaNode_) {
    replicaNode_ = wanted;
    lastReplicaAck_ = TimePoint{};
    replicaSnapshot_.reset();
    nextBase_.reset();
    log_.markReplicaLost();
    knownFlows_.stop();
    markExceptions(now);
  }
}

void LocalShard::startReplicaSnapshot(TimePoint now) {
  replicaSnapshotSequence_ = log_.startSnapshot();
  snapshotCarriesNextBase_ = nextBase_.has_value();
  const SnapshotIdentity identity{id_, SnapshotPurpose::kReplica, ++replicaSnapshotNumber_};
  replicaSnapshot_ =
      std::make_unique<SnapshotSender>(now, splitSnapshot(identity, content(now, false)));
}

void LocalShard::pollReplicaSnapshot(TimePoint now) {
  if (!replicaSnapshot_) {
    return;
  }
  replicaSnapshot_->poll(now, context_.snapshotBudget, [this](const SnapshotChunk& chunk) {
    context_.send(*replicaNode_, chunk);
  });
  if (!replicaSnapshot_->done()) {
    return;
  }
  replicaSnapshot_.reset();
  if (log_.firstSequence() != replicaSnapshotSequence_) {
    // The log overflowed during the transfer, so its changes no longer follow the snapshot.
    return;
  }
  log_.onSnapshotDelivered(now);
  releaseAcknowledged(now);
  if (nextBase_ && snapshotCarriesNextBase_) {
    finishBaseAdvance(now);
  }
}

void LocalShard::advanceBase(TimePoint now) {
  const Duration sinceLast = now - lastBaseAdvance_;
  if (!knowsAllFlows_ || nextBase_ || context_.mayHaveRivals(now) ||
      sinceLast < context_.options.baseAdvanceInterval) {
    return;
  }
  lastBaseAdvance_ = now;
  const auto wanted = sortedByHost(service_.placement->currentBase());
  const auto current = sortedByHost(base_.hosts());
  const bool hostsDiffer = !sameHosts(wanted, current);
  if (!hasWeight(wanted) || (!hostsDiffer && !weightsDiffer(wanted, current))) {
    return;
  }
  if (!hostsDiffer && sinceLast < kWeightAdvanceInterval) {
    lastBaseAdvance_ = now - sinceLast;
    return;
  }
  nextBase_ = BaseTable(wanted);
  markExceptions(now);
  if (replicaNode_) {
    startReplicaSnapshot(now);
  } else {
    finishBaseAdvance(now);
  }
}

void LocalShard::finishBaseAdvance(TimePoint now) {
  ++context_.counters.baseAdvances;
  base_ = *nextBase_;
  nextBase_.reset();
  lastBaseAdvance_ = now;
  markExceptions(now);
}

bool LocalShard::replicationReliable(TimePoint now) const {
  if (context_.mayHaveRivals(now)) {
    return false;
  }
  return replicaNode_ ? log_.current(now) && !replicaOverdue_ : context_.map.liveMembers() <= 1;
}

void LocalShard::releaseAcknowledged(TimePoint now) {
  lastReplicaAck_ = now;
  replicaOverdue_ = false;
  if (log_.synchronised()) {
    releasePackets(now, unacknowledged_.takeAcknowledged(log_.firstSequence()));
  }
}

void LocalShard::releaseOverdue(TimePoint now) {
  for (UnacknowledgedFlows::Overdue& overdue : unacknowledged_.takeOverdue(now)) {
    replicaOverdue_ = true;
    if (const auto entry = context_.flows.find(now, flowSlot_, overdue.flow)) {
      dropEntry(now, *entry);
    }
    context_.held.release(now, std::move(overdue.packet.bytes), overdue.packet.source);
  }
}

std::vector<HoldQueue::Packet> LocalShard::dropUnacknowledged(TimePoint now) {
  if (unacknowledged_.isEmpty()) {
    return {};
  }
  std::vector<FlowEntry> entries;
  context_.flows.forEach(now, flowSlot_, [&](const FlowEntry& entry) {
    if (unacknowledged_.contains(entry.flow)) {
      entries.push_back(entry);
    }
  });
  for (const FlowEntry& entry : entries) {
    dropEntry(now, entry);
  }
  return unacknowledged_.takeAll();
}

void LocalShard::releasePackets(TimePoint now, std::vector<HoldQueue::Packet> packets) {
  for (HoldQueue::Packet& packet : packets) {
    context_.held.release(now, std::move(packet.bytes), packet.source);
  }
}

void LocalShard::updateAllFlowsKnown(TimePoint now) {
  const Duration idleTimeout = std::chrono::seconds(service_.idleTimeoutSeconds);
  if (!knowsAllFlows_ && now - ownedSince_ >= idleTimeout) {
    knowsAllFlows_ = true;
    oldFlows_.reset();
    service_.placement->markFlowsComplete(id_);
  }
}

void LocalShard::onReplicaAppend(TimePoint now, NodeId sender, const ReplicaAppend& batch) {
  onOwnerAnnounced(now, sender, batch.epoch);
  if (role_ == ShardRole::kOwner) {
    context_.send(sender, ReplicaAck{id_, epoch_, 0, false, context_.self(), 0});
    return;
  }
  if (!replica_) {
    replica_ = std::make_unique<ReplicaCopy>();
  }
  context_.send(sender, replica_->onAppend(now, sender, batch));
}

void LocalShard::onReplicaAck(TimePoint now, NodeId sender, const ReplicaAck& ack) {
  if (role_ != ShardRole::kOwner) {
    return;
  }
  const bool newer =
      ack.newerOwner != context_.self() &&
      std::make_tuple(ack.epoch, ack.newerOwner) > std::make_tuple(epoch_, context_.self());
  if (newer && !ack.needsSnapshot) {
    fence(now, ack.newerOwner, ack.epoch);
    return;
  }
  if (ack.epoch != epoch_ || replicaNode_ != sender) {
    return;
  }
  if (ack.needsSnapshot) {
    log_.markReplicaLost();
    knownFlows_.stop();
  } else {
    log_.onAck(now, ack.nextSequence);
    releaseAcknowledged(now);
    knownFlows_.onAck(ack.nextKnown);
  }
}

ShardStats LocalShard::stats(TimePoint now) const {
  ShardStats stats;
  stats.shard = id_;
  stats.role = role_;
  stats.replica = replica_ && replica_->synchronised();
  stats.epoch = epoch_;
  stats.flows = context_.flows.flowCount(flowSlot_);
  stats.knowsAllFlows = knowsAllFlows_;
  stats.knowsOldFlows = knowsOldFlows();
  stats.replicaCurrent = role_ == ShardRole::kOwner && log_.current(now);
  stats.pendingChanges = log_.pending();
  return stats;
}

}  // namespace umberhold
