#include "common/shard/local_shard.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/flow/flow_state.h"

namespace umberhold {
namespace {

/**
 * Number of best-ranked members that are queried for state, in addition to the best one of each
 * zone.
 */
constexpr size_t kRankedCandidates = 4;
/**
 * If no node holds state of a shard whose service was created less than this long ago, the shard
 * has had no flows.
 */
constexpr Duration kNewServicePeriod = std::chrono::seconds(10);
constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
/**
 * How long a fenced former owner notifies the new owner that it holds flows unknown to the latter.
 */
constexpr Duration kFencedNoticePeriod = std::chrono::seconds(5);
/**
 * A replica that has received nothing from an owner for this long, while the view does not assign
 * the shard to this node, is marked as outdated: it lacks changes.
 */
constexpr Duration kReplicaStaleTimeout = std::chrono::seconds(2);
/**
 * A replica that has received nothing from an owner for this long, while the view does not assign
 * the shard to this node, is dropped.
 */
constexpr Duration kReplicaLifetime = std::chrono::seconds(120);

void addUnique(std::vector<NodeId>& nodes, NodeId node) {
  if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
    nodes.push_back(node);
  }
}

}  // namespace

LocalShard::LocalShard(ShardContext& context, ServiceRuntime& service, ShardId id)
    : context_(context),
      service_(service),
      id_(id),
      flowSlot_(context.flows.addShard(service.idleTimeoutSeconds)) {}

LocalShard::~LocalShard() {
  context_.flows.removeShard(flowSlot_);
}

bool LocalShard::isAssignedOwner() const {
  const auto assignment = context_.map.lookup(id_);
  return assignment && assignment->owner == context_.self() && !context_.leaving;
}

bool LocalShard::outranksSelf(NodeId node) const {
  const uint64_t own = ShardMap::score(id_, context_.self());
  const uint64_t other = ShardMap::score(id_, node);
  return std::make_tuple(other, node) > std::make_tuple(own, context_.self());
}

HeldState LocalShard::held(TimePoint now) const {
  // While the nodes that hold newer state may be beyond a network partition, outdated state would
  // send their flows to other hosts. If they are dead, it is the best state left.
  const bool allowOutdated = !context_.mayHaveRivals(now);
  // After a process pause a node releases its shards to itself and queries whether it still owns
  // them.
  const bool fencedByPeer = fenced_ && successor_ != context_.self();
  const bool superseded = fencedByPeer || (handedOver_ && !fenced_);
  HeldState best;
  if (hasState_ && (!superseded || allowOutdated)) {
    best = HeldState{HeldRole::kReleased, epoch_, 0};
  }
  if (replica_ && replica_->synchronised() && (!replica_->outdated() || allowOutdated)) {
    best =
        std::max(best, HeldState{HeldRole::kReplica, replica_->epoch(), replica_->nextSequence()});
  }
  return best;
}

std::vector<NodeId> LocalShard::takeoverCandidates() const {
  std::vector<NodeId> candidates;
  if (lastKnownOwner_ && context_.isReachable(*lastKnownOwner_)) {
    candidates.push_back(*lastKnownOwner_);
  }
  for (const NodeId& node : context_.map.ranked(id_, kRankedCandidates)) {
    addUnique(candidates, node);
  }
  for (const NodeId& node : context_.map.highestRankedPerZone(id_)) {
    addUnique(candidates, node);
  }
  context_.view.forEach([&](const Member& member) {
    if (member.state == MemberState::kLeaving && outranksSelf(member.id)) {
      addUnique(candidates, member.id);
    }
  });
  std::erase(candidates, context_.self());
  return candidates;
}

void LocalShard::startTakeover(TimePoint now) {
  role_ = ShardRole::kAcquiring;
  Takeover::Start start;
  start.shard = id_;
  start.self = context_.self();
  start.attempt = ++attempt_;
  start.own = held(now);
  if (start.own.role == HeldRole::kReplica) {
    start.holder = replica_->owner();
  } else if (hasState_ && successor_ != context_.self()) {
    start.holder = successor_;
  }
  start.candidates = takeoverCandidates();
  start.view.isDead = [this](NodeId node) { return context_.isDead(node); };
  start.view.isReachable = [this](NodeId node) { return context_.isReachable(node); };
  start.view.outranksSelf = [this](NodeId node) { return outranksSelf(node); };
  takeover_ = std::make_unique<Takeover>(now, std::move(start));
}

void LocalShard::abandonTakeover(TimePoint now) {
  takeover_.reset();
  role_ = hasState_ ? ShardRole::kReleased : ShardRole::kNone;
  releaseHeldPackets(now);
}

void LocalShard::pollTakeover(TimePoint now) {
  const TakeoverOutcome outcome = takeover_->poll(
      now, [this](NodeId node, const TakeoverRequest& request) { context_.send(node, request); },
      [this](NodeId node, const SnapshotAck& ack) { context_.send(node, ack); });
  highestEpochSeen_ = std::max(highestEpochSeen_, takeover_->highestEpoch());
  if (const auto* fetched = std::get_if<TakeoverFetched>(&outcome)) {
    ++(fetched->direct ? context_.counters.takeoversFromOwner
                       : context_.counters.takeoversFromReplica);
    takeOverContent(now, fetched->direct, fetched->content);
  } else if (std::holds_alternative<TakeoverOwnState>(outcome)) {
    if (held(now).role == HeldRole::kNothing) {
      // The state that was usable when the takeover began may be outdated: a partition is suspected
      // now.
      startTakeover(now);
    } else {
      takeOverOwnState(now);
    }
  } else if (const auto* nothing = std::get_if<TakeoverNothing>(&outcome)) {
    const bool fresh = nothing->allAnswered && isNewService(now);
    // No node holds state and none can have died with it: the shard never had an owner.
    const bool firstOwner = nothing->allAnswered && !nothing->memberDied && !context_.memberDied;
    // While a whole zone is unreachable, state that is not found here probably still exists there.
    // A recent death may be the first sign of a partition, and healing takes a while. A node that
    // joined in the meantime has not observed any of this, but the members that it queries have.
    if ((context_.mayHaveRivals(now) || nothing->mayHaveRivals) && !fresh) {
      startTakeover(now);
    } else {
      createEmpty(now, fresh, fresh || firstOwner);
    }
  }
}

void LocalShard::takeOverContent(TimePoint now, bool direct, const ShardContent& content) {
  const bool superseded = hasState_ && handedOver_ && !fenced_;
  if (superseded) {
    // The fetched content contains all flows of the handed-over state that still exist.
    discardState();
  }
  highestEpochSeen_ = std::max(highestEpochSeen_, content.epoch);
  setBase(now, content.base);
  for (const PinnedFlow& pinned : content.pinned) {
    const auto slot = enterHost(pinned.host);
    const bool known = context_.flows.find(now, flowSlot_, pinned.flow).has_value();
    if (!slot || known) {
      continue;
    }
    const NewFlow flow{flowSlot_,
                       pinned.flow,
                       *slot,
                       isException(pinned.flow, pinned.host),
                       PacketPhase::kContinuing,
                       0};
    if (!isOk(context_.flows.insert(now, flow))) {
      ++context_.counters.pinnedFlowsLost;
    }
  }
  markExceptions(now);
  for (const FlowHash& flow : content.refused) {
    refused_.record(now, flow);
  }
  knowsAllFlows_ = direct && content.knowsAllFlows;
  oldFlows_.reset();
  if (!knowsAllFlows_ && content.oldFlows) {
    oldFlows_.emplace(*content.oldFlows);
  }
  // Unless the content lists all flows, it lacks openings that the previous owner forwarded to the
  // base table's host. Their retransmissions must not be placed elsewhere.
  becomeOwner(now, !knowsAllFlows_, content.permits);
}

void LocalShard::takeOverOwnState(TimePoint now) {
  ++context_.counters.takeoversFromOwnState;
  const bool replicaIsBest = held(now).role == HeldRole::kReplica;
  if (replicaIsBest) {
    const ShardContent content = replica_->content();
    takeOverContent(now, false, content);
    return;
  }
  setBase(now, base_.hosts());
  markExceptions(now);
  knowsAllFlows_ = false;
  oldFlows_.reset();
  becomeOwner(now, true, releasedPermits_);
}

bool LocalShard::isNewService(TimePoint now) const {
  return service_.createdAt && now - *service_.createdAt < kNewServicePeriod;
}

void LocalShard::createEmpty(TimePoint now, bool fresh, bool knowsAllFlows) {
  ++context_.counters.shardsCreated;
  setBase(now, service_.placement->currentBase());
  markExceptions(now);
  knowsAllFlows_ = knowsAllFlows;
  oldFlows_.reset();
  becomeOwner(now, !fresh, {});
}

void LocalShard::becomeOwner(TimePoint now, bool baseOnly,
                             const std::vector<HostPermits>& permits) {
  role_ = ShardRole::kOwner;
  epoch_ = std::max(highestEpochSeen_, epoch_) + 1;
  highestEpochSeen_ = epoch_;
  takeover_.reset();
  replica_.reset();
  replicaNode_.reset();
  replicaSnapshot_.reset();
  nextBase_.reset();
  hasState_ = false;
  handedOver_ = false;
  fenced_ = false;
  releasedPermits_.clear();
  takeoverSenders_.clear();
  ownedSince_ = now;
  lastBaseAdvance_ = now;
  baseOnlyUntil_ = baseOnly ? now + context_.options.baseOnlyTime : now;
  log_.reset(now);
  replicaOverdue_ = false;
  knownFlows_.stop();
  service_.placement->shardOwned(now, id_, permits);
  countEntries(now);
  chooseReplica(now);
  releaseHeldPackets(now);
}

void LocalShard::countEntries(TimePoint now) {
  context_.flows.forEach(now, flowSlot_, [this](const FlowEntry& entry) {
    if (isOpen(entry.state)) {
      service_.placement->flowAdded(id_, slots_.at(entry.hostSlot).host, FlowOrigin::kAdopted);
    }
  });
  if (knowsAllFlows_) {
    service_.placement->markFlowsComplete(id_);
  }
}

void LocalShard::releaseHeldPackets(TimePoint now) {
  releasePackets(now, heldPackets_.takeAll());
}

void LocalShard::release(TimePoint now, NodeId successor) {
  ++context_.counters.releases;
  std::vector<HoldQueue::Packet> unforwarded = dropUnacknowledged(now);
  releasedPermits_ = service_.placement->handOverPermits(id_);
  service_.placement->shardReleased(now, id_);
  role_ = ShardRole::kReleased;
  hasState_ = true;
  handedOver_ = false;
  fenced_ = false;
  successor_ = successor;
  releasedAt_ = now;
  replicaNode_.reset();
  replicaSnapshot_.reset();
  nextBase_.reset();
  releasePackets(now, std::move(unforwarded));
}

void LocalShard::fence(TimePoint now, NodeId newerOwner, uint32_t newerEpoch) {
  ++context_.counters.fencedByNewerOwner;
  release(now, newerOwner);
  fenced_ = true;
  highestEpochSeen_ = std::max(highestEpochSeen_, newerEpoch);
}

void LocalShard::reconfirmOwnership(TimePoint now) {
  if (role_ == ShardRole::kOwner) {
    release(now, context_.self());
    fenced_ = true;
  }
  if (role_ == ShardRole::kAcquiring || isAssignedOwner()) {
    startTakeover(now);
  }
}

void LocalShard::discardState() {
  context_.flows.removeShard(flowSlot_);
  flowSlot_ = context_.flows.addShard(service_.idleTimeoutSeconds);
  slots_.clear();
  base_ = BaseTable{};
  refused_.clear();
  hasState_ = false;
  handedOver_ = false;
  fenced_ = false;
  knowsAllFlows_ = false;
  oldFlows_.reset();
  releasedPermits_.clear();
}

void LocalShard::tick(TimePoint now) {
  refused_.expire(now);
  tickReplica(now);
  tickSenders(now);
  const bool assigned = isAssignedOwner();
  switch (role_) {
    case ShardRole::kNone:
      if (assigned) {
        startTakeover(now);
      }
      break;
    case ShardRole::kAcquiring:
      if (assigned) {
        pollTakeover(now);
      } else {
        abandonTakeover(now);
      }
      break;
    case ShardRole::kReleased:
      if (assigned) {
        startTakeover(now);
      } else {
        tickReleased(now);
      }
      break;
    case ShardRole::kOwner:
      tickReplication(now);
      sendNotice(now);
      break;
  }
}

void LocalShard::tickReleased(TimePoint now) {
  const bool holdsFlows = fenced_ && context_.flows.flowCount(flowSlot_) > 0;
  const bool due = now - lastNotice_ >= kNoticeInterval && now - releasedAt_ < kFencedNoticePeriod;
  if (holdsFlows && due) {
    lastNotice_ = now;
    context_.send(successor_, OwnershipNotice{id_, epoch_, true});
  }
  if (context_.leaving && !fenced_ && !handedOver_) {
    queryOwner(now);
  }
  if (now - releasedAt_ >= context_.options.releasedStateLifetime) {
    discardState();
    role_ = ShardRole::kNone;
  }
}

/**
 * Queries the nodes that may have fetched the state whether they own the shard; an owner replies
 * with its epoch. A leaving node has no other way to detect a newer owner: the last acknowledgement
 * of a fetch may be lost, or the successor may have used a replica's copy instead.
 */
void LocalShard::queryOwner(TimePoint now) {
  if (now - lastNotice_ < kNoticeInterval) {
    return;
  }
  lastNotice_ = now;
  const OwnershipNotice notice{id_, epoch_, false};
  context_.send(successor_, notice);
  const auto assignment = context_.map.lookup(id_);
  if (assignment && assignment->owner != successor_) {
    context_.send(assignment->owner, notice);
  }
}

void LocalShard::tickSenders(TimePoint now) {
  for (auto& [node, sender] : takeoverSenders_) {
    const NodeId receiver = node;
    sender->poll(now, context_.snapshotBudget,
                 [this, receiver](const SnapshotChunk& chunk) { context_.send(receiver, chunk); });
  }
  std::erase_if(takeoverSenders_, [&](const auto& entry) {
    return entry.second->done() || entry.second->failed(now);
  });
}

void LocalShard::tickReplica(TimePoint now) {
  if (!replica_) {
    return;
  }
  replica_->tick(now);
  const auto assignment = context_.map.lookup(id_);
  const bool wanted = assignment && (assignment->owner == context_.self() ||
                                     assignment->replica == context_.self());
  if (!wanted && now - replica_->lastOwnerMessage() >= kReplicaStaleTimeout) {
    replica_->setOutdated();
  }
  if (!wanted && now - replica_->lastOwnerMessage() >= kReplicaLifetime) {
    replica_.reset();
  }
}

void LocalShard::sendNotice(TimePoint now) {
  const auto assignment = context_.map.lookup(id_);
  const bool assignedElsewhere = assignment && assignment->owner != context_.self();
  if (assignedElsewhere && now - lastNotice_ >= kNoticeInterval) {
    lastNotice_ = now;
    context_.send(assignment->owner, OwnershipNotice{id_, epoch_, false});
  }
}

bool LocalShard::isUnused() const {
  return role_ == ShardRole::kNone && !replica_ && !isAssignedOwner();
}

std::string_view toString(ShardRole role) {
  switch (role) {
    case ShardRole::kNone:
      return "none";
    case ShardRole::kAcquiring:
      return "acquiring";
    case ShardRole::kOwner:
      return "owner";
    case ShardRole::kReleased:
      return "released";
  }
  return "unknown";
}

PendingHandover LocalShard::pendingHandover() const {
  return {id_, role_, epoch_, context_.flows.flowCount(flowSlot_), fenced_, successor_};
}

bool LocalShard::isHandedOver(TimePoint now) const {
  if (role_ == ShardRole::kOwner) {
    return false;
  }
  // The state of a fenced owner is not fetched, since the newer owner has its own. The newer owner
  // only needs the notice that flows unknown to it exist.
  const bool fencedByPeer = fenced_ && successor_ != context_.self();
  const bool noticePeriodOver = now - releasedAt_ >= kFencedNoticePeriod;
  const bool nothingToHandOver =
      fencedByPeer && (noticePeriodOver || context_.flows.flowCount(flowSlot_) == 0);
  return role_ != ShardRole::kReleased || handedOver_ || nothingToHandOver;
}

}  // namespace umberhold
