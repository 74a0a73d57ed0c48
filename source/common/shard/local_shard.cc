#include "common/shard/local_shard.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/flow/flow_state.h"

namespace umberhold {
namespace {

/** How many of the best-ranked members are asked for state, besides the best of each zone. */
constexpr size_t kRankedCandidates = 4;
/** So long after its creation a service whose shards nobody holds has had no flows. */
constexpr Duration kNewServiceTime = std::chrono::seconds(10);
constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
/** So long a former owner that lost its shard says that it has flows which the new one lacks. */
constexpr Duration kFencedNoticeTime = std::chrono::seconds(5);
/** A copy that no owner has fed for this long, while no view asked for it, lacks changes. */
constexpr Duration kReplicaPatience = std::chrono::seconds(2);
/** A copy that no owner has fed for this long, and no view asks for, is dropped. */
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

bool LocalShard::isNamedOwner() const {
  const auto named = context_.map.lookup(id_);
  return named && named->owner == context_.self() && !context_.leaving;
}

bool LocalShard::outranksSelf(NodeId node) const {
  const uint64_t own = ShardMap::score(id_, context_.self());
  const uint64_t other = ShardMap::score(id_, node);
  return std::make_tuple(other, node) > std::make_tuple(own, context_.self());
}

HeldState LocalShard::held(TimePoint now) const {
  // While the nodes that hold newer state may be cut off, an outdated one would send their flows to
  // other hosts. Where they are dead it is the best that is left.
  const bool outdatedServes = !context_.mayHaveRivals(now);
  // A node that was paused releases its shards to itself, to ask whether they are still its own.
  const bool gaveWay = fenced_ && successor_ != context_.self();
  const bool superseded = gaveWay || (handedOver_ && !fenced_);
  HeldState best;
  if (hasState_ && (!superseded || outdatedServes)) {
    best = HeldState{HeldRole::kReleased, epoch_, 0};
  }
  if (replica_ && replica_->synchronised() && (!replica_->outdated() || outdatedServes)) {
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
  for (const NodeId& node : context_.map.bestOfEachZone(id_)) {
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
  releaseHeld(now);
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
      // What counted when the takeover began may be outdated: a cut is suspected by now.
      startTakeover(now);
    } else {
      takeOverOwnState(now);
    }
  } else if (const auto* nothing = std::get_if<TakeoverNothing>(&outcome)) {
    const bool fresh = nothing->allAnswered && isNewService(now);
    // Nobody has state and nobody can have died with it: the shard never had an owner.
    const bool firstOwner = nothing->allAnswered && !nothing->memberDied && !context_.memberDied;
    // While a whole zone is silent, the state that is not found here is probably alive there. A
    // death just now may be the first sign of that, and a heal takes a while. A node that joined
    // meanwhile knows of none of these itself, but those that it asks do.
    if ((context_.mayHaveRivals(now) || nothing->mayHaveRivals) && !fresh) {
      startTakeover(now);
    } else {
      buildNew(now, fresh, fresh || firstOwner);
    }
  }
}

void LocalShard::takeOverContent(TimePoint now, bool direct, const ShardContent& content) {
  const bool superseded = hasState_ && handedOver_ && !fenced_;
  if (superseded) {
    // What this node gave away came back in the content, where it still lives.
    forgetState();
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
    refused_.remember(now, flow);
  }
  knowsAllFlows_ = direct && content.knowsAllFlows;
  oldFlows_.reset();
  if (!knowsAllFlows_ && content.oldFlows) {
    oldFlows_.emplace(*content.oldFlows);
  }
  // An opening that the previous owner forwarded to the base's host is not in the content unless
  // that lists all flows: its repeat must not be placed elsewhere.
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
  return service_.bornAt && now - *service_.bornAt < kNewServiceTime;
}

void LocalShard::buildNew(TimePoint now, bool fresh, bool knowsAllFlows) {
  ++context_.counters.shardsBuiltNew;
  setBase(now, service_.placement->currentBase());
  markExceptions(now);
  knowsAllFlows_ = knowsAllFlows;
  oldFlows_.reset();
  becomeOwner(now, !fresh, {});
}

void LocalShard::becomeOwner(TimePoint now, bool cautious,
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
  cautiousUntil_ = cautious ? now + context_.options.cautiousTime : now;
  log_.reset(now);
  replicaLate_ = false;
  knownFlows_.stop();
  service_.placement->shardOwned(now, id_, permits);
  countEntries(now);
  chooseReplica(now);
  releaseHeld(now);
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

void LocalShard::releaseHeld(TimePoint now) {
  releasePackets(now, held_.takeAll());
}

void LocalShard::release(TimePoint now, NodeId successor) {
  ++context_.counters.releases;
  std::vector<HoldQueue::Packet> unforwarded = giveUpUnacknowledged(now);
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

void LocalShard::reconfirm(TimePoint now) {
  if (role_ == ShardRole::kOwner) {
    release(now, context_.self());
    fenced_ = true;
  }
  if (role_ == ShardRole::kAcquiring || isNamedOwner()) {
    startTakeover(now);
  }
}

void LocalShard::forgetState() {
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
  const bool named = isNamedOwner();
  switch (role_) {
    case ShardRole::kNone:
      if (named) {
        startTakeover(now);
      }
      break;
    case ShardRole::kAcquiring:
      if (named) {
        pollTakeover(now);
      } else {
        abandonTakeover(now);
      }
      break;
    case ShardRole::kReleased:
      if (named) {
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
  const bool due = now - lastNotice_ >= kNoticeInterval && now - releasedAt_ < kFencedNoticeTime;
  if (holdsFlows && due) {
    lastNotice_ = now;
    context_.send(successor_, OwnershipNotice{id_, epoch_, true});
  }
  if (context_.leaving && !fenced_ && !handedOver_) {
    askWhoOwns(now);
  }
  if (now - releasedAt_ >= context_.options.releasedTime) {
    forgetState();
    role_ = ShardRole::kNone;
  }
}

/**
 * Asks whoever may have fetched the state whether it owns the shard now; an owner answers with its
 * epoch. A leaving node hears of a newer owner in no other way: the last acknowledgement of a fetch
 * may be lost, and the successor may have taken a replica's copy instead.
 */
void LocalShard::askWhoOwns(TimePoint now) {
  if (now - lastNotice_ < kNoticeInterval) {
    return;
  }
  lastNotice_ = now;
  const OwnershipNotice notice{id_, epoch_, false};
  context_.send(successor_, notice);
  const auto named = context_.map.lookup(id_);
  if (named && named->owner != successor_) {
    context_.send(named->owner, notice);
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
  const auto named = context_.map.lookup(id_);
  const bool wanted =
      named && (named->owner == context_.self() || named->replica == context_.self());
  if (!wanted && now - replica_->lastHeard() >= kReplicaPatience) {
    replica_->setOutdated();
  }
  if (!wanted && now - replica_->lastHeard() >= kReplicaLifetime) {
    replica_.reset();
  }
}

void LocalShard::sendNotice(TimePoint now) {
  const auto named = context_.map.lookup(id_);
  const bool another = named && named->owner != context_.self();
  if (another && now - lastNotice_ >= kNoticeInterval) {
    lastNotice_ = now;
    context_.send(named->owner, OwnershipNotice{id_, epoch_, false});
  }
}

bool LocalShard::isIdle() const {
  return role_ == ShardRole::kNone && !replica_ && !isNamedOwner();
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

HeldShard LocalShard::heldShard() const {
  return {id_, role_, epoch_, context_.flows.flowCount(flowSlot_), fenced_, successor_};
}

bool LocalShard::isHandedOver(TimePoint now) const {
  if (role_ == ShardRole::kOwner) {
    return false;
  }
  // Nobody fetches the state of an owner that gave way: the newer one has its own. It only has to
  // hear that there are flows which it doesn't know.
  const bool gaveWay = fenced_ && successor_ != context_.self();
  const bool noticed = now - releasedAt_ >= kFencedNoticeTime;
  const bool nothingToGive = gaveWay && (noticed || context_.flows.flowCount(flowSlot_) == 0);
  return role_ != ShardRole::kReleased || handedOver_ || nothingToGive;
}

}  // namespace umberhold
