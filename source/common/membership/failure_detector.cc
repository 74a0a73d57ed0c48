#include "common/membership/failure_detector.h"

#include <algorithm>
#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Interval of the removal of members that have been dead for long. */
constexpr Duration kPurgePeriod = std::chrono::minutes(1);
constexpr Duration kPushRefillPeriod = std::chrono::seconds(1);
/** Number of members that this node sends its departure to directly. */
constexpr size_t kLeftFanout = 6;
/** Number of anti-entropy exchanges after a pause. */
constexpr int kSyncsAfterPause = 2;
/** Maximum number of members in the answer to one MemberQuery. */
constexpr size_t kMaxQueriedIds = 28;

}  // namespace

FailureDetector::FailureDetector(const MembershipOptions& options, const Member& self,
                                 RandomSource& random, MessageSink& sink)
    : context_{options, MemberTable(self), {}, random, sink},
      prober_(context_),
      helper_(context_),
      joiner_(context_),
      sync_(context_) {}

const Member* FailureDetector::find(NodeId id) const {
  const MemberEntry* entry = context_.table.find(id);
  return entry == nullptr ? nullptr : &entry->member;
}

void FailureDetector::forEach(const std::function<void(const Member&)>& visitor) const {
  for (const MemberEntry& entry : context_.table.entries()) {
    visitor(entry.member);
  }
}

void FailureDetector::start(TimePoint now, const std::vector<Endpoint>& seeds) {
  const auto randomTimeWithin = [&](Duration period) {
    return now + Duration(static_cast<Duration::rep>(
                     context_.random.below(static_cast<uint64_t>(period.count()) + 1)));
  };
  started_ = true;
  lastCallAt_ = now;
  prober_.reset(randomTimeWithin(context_.options.probePeriod));
  nextSync_ = randomTimeWithin(context_.options.syncPeriod);
  nextDeadRetry_ = randomTimeWithin(context_.options.deadRetryPeriod);
  nextSeedRetry_ = now + context_.options.seedRetryPeriod;
  nextPurge_ = now + kPurgePeriod;
  pushRefill_ = now;
  pushTokens_ = context_.options.pushBurst;
  context_.queue.add(self(), true, true);
  joiner_.start(now, seeds);
}

void FailureDetector::tick(TimePoint now) {
  if (!started_ || left_) {
    return;
  }
  checkForPause(now);
  joiner_.tick(now);
  helper_.tick(now);
  applyVerdicts(now);
  runPeriodic(now);
  pushUrgent(now);
}

void FailureDetector::setMachineList(const std::vector<Endpoint>& machines) {
  joiner_.addSeeds(machines);
}

void FailureDetector::announceReady(TimePoint now) {
  setSelfState(now, MemberState::kAlive);
}

void FailureDetector::announceLeaving(TimePoint now) {
  setSelfState(now, MemberState::kLeaving);
}

void FailureDetector::announceLeft(TimePoint now) {
  setSelfState(now, MemberState::kDead);
  pushTo(kLeftFanout);
  left_ = true;
}

void FailureDetector::setSelfState(TimePoint now, MemberState state) {
  if (selfMember().state >= state) {
    return;
  }
  context_.table.setSelf(now, selfMember().incarnation, state);
  queueAndNotify(self(), false);
}

void FailureDetector::checkForPause(TimePoint now) {
  const Duration gap = now - lastCallAt_;
  lastCallAt_ = std::max(lastCallAt_, now);
  if (started_ && gap > context_.options.pauseThreshold) {
    recoverFromPause(now);
  }
}

/** Probe results and updates from before the pause are stale: discards them and synchronizes. */
void FailureDetector::recoverFromPause(TimePoint now) {
  ++pauses_;
  prober_.reset(now);
  helper_.reset();
  context_.queue.clear();
  std::vector<NodeId> suspects;
  for (const MemberEntry& entry : context_.table.entries()) {
    if (entry.member.state == MemberState::kSuspect) {
      suspects.push_back(entry.member.id);
    }
  }
  for (const NodeId id : suspects) {
    context_.table.setSuspect(now, id, false);
    notify(id);
  }
  context_.queue.add(self(), false, true);
  for (int peer = 0; peer < kSyncsAfterPause; ++peer) {
    sync_.begin();
  }
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId sender, const Ping& ping) {
  if (left_) {
    return;
  }
  checkForPause(now);
  mergeGossip(now, from, sender, ping.gossip);
  queryUnknownSender(from, sender);
  context_.sink.send(from, Message{PingAck{ping.sequence, self(), gossipFor(sender)}});
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId sender,
                             const PingAck& ack) {
  checkForPause(now);
  mergeGossip(now, from, sender, ack.gossip);
  queryUnknownSender(from, sender);
  if (helper_.onAck(ack.sequence, ack.subject)) {
    return;
  }
  if (const auto reached = prober_.onAck(ack.sequence, ack.subject)) {
    if (context_.table.setSuspect(now, *reached, false)) {
      notify(*reached);
    }
  }
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId /*sender*/,
                             const PingRequest& request) {
  if (left_) {
    return;
  }
  checkForPause(now);
  helper_.onRequest(now, from, request);
}

void FailureDetector::handle(TimePoint now, const Endpoint& /*from*/, NodeId sender,
                             const PingNack& nack) {
  checkForPause(now);
  if (isKnownLive(sender)) {
    prober_.onNack(nack.sequence, sender);
  }
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId sender,
                             const MemberGossip& gossip) {
  checkForPause(now);
  mergeGossip(now, from, sender, gossip);
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId /*sender*/,
                             const JoinRequest& request) {
  if (left_) {
    return;
  }
  checkForPause(now);
  mergeMember(now, request.sender, true);
  context_.sink.send(from, Message{joinPage(context_.table, request.from)});
  const MemberEntry* entry = context_.table.find(request.sender.id);
  if (entry != nullptr && updateOf(entry->member) != updateOf(request.sender)) {
    // An earlier process with that id had a higher incarnation: report it, so that the new process
    // raises its own above it.
    context_.sink.send(from, Message{MemberGossip{{updateOf(entry->member)}, {}}});
  }
}

void FailureDetector::handle(TimePoint now, const Endpoint& /*from*/, NodeId sender,
                             const JoinReply& reply) {
  checkForPause(now);
  for (const Member& member : reply.members) {
    mergeMember(now, member, false);
  }
  const Member* known = find(sender);
  joiner_.onReply(now, reply, known != nullptr && known->state == MemberState::kJoining);
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId /*sender*/,
                             const MemberDigest& digest) {
  checkForPause(now);
  sync_.onDigest(from, digest);
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId /*sender*/,
                             const MemberDigestReply& reply) {
  checkForPause(now);
  mergeUpdates(now, from, reply.updates, DeathClaimPolicy::kVerify);
  sync_.onReply(from, reply);
}

void FailureDetector::handle(TimePoint now, const Endpoint& from, NodeId /*sender*/,
                             const MemberQuery& query) {
  checkForPause(now);
  JoinReply reply;
  // `more` without `next` does not advance the receiver's join, and does not complete it either.
  reply.more = true;
  for (const NodeId id : query.ids) {
    const MemberEntry* entry = context_.table.find(id);
    if (entry != nullptr && isLiveEntry(*entry) && reply.members.size() < kMaxQueriedIds) {
      reply.members.push_back(published(entry->member));
    }
  }
  if (!reply.members.empty()) {
    context_.sink.send(from, Message{std::move(reply)});
  }
}

void FailureDetector::queueAndNotify(NodeId id, bool withAddress) {
  context_.queue.add(id, withAddress, true);
  notify(id);
}

void FailureDetector::notify(NodeId id) {
  const Member* member = find(id);
  for (MembershipObserver* observer : observers_) {
    if (member != nullptr) {
      observer->onMemberChanged(*member);
    }
  }
}

bool FailureDetector::isKnownLive(NodeId sender) const {
  const MemberEntry* entry = context_.table.find(sender);
  return entry != nullptr && isLiveEntry(*entry);
}

/** Puts the death of a sender that is dead in this view first, so that the sender can refute it. */
MemberGossip FailureDetector::gossipFor(NodeId sender) {
  MemberGossip gossip = context_.piggyback();
  const MemberEntry* entry = context_.table.find(sender);
  if (isDeadEntry(entry)) {
    gossip.updates.insert(gossip.updates.begin(), updateOf(entry->member));
  }
  return gossip;
}

void FailureDetector::queryUnknownSender(const Endpoint& from, NodeId sender) {
  if (context_.table.find(sender) == nullptr) {
    context_.sink.send(from, Message{MemberQuery{{sender}}});
    sync_.begin(from);
  }
}

void FailureDetector::applyVerdicts(TimePoint now) {
  for (const ProbeVerdict& verdict : prober_.tick(now)) {
    if (verdict.state == MemberState::kSuspect) {
      if (context_.table.setSuspect(now, verdict.id, true)) {
        notify(verdict.id);
      }
      continue;
    }
    const MemberUpdate death{verdict.id, verdict.incarnation, MemberState::kDead};
    if (context_.table.merge(now, death) == MergeOutcome::kChanged) {
      queueAndNotify(verdict.id, false);
      // The member may only have been paused; in that case it refutes the death on receipt.
      context_.sink.send(find(verdict.id)->controlEndpoint(), Message{MemberGossip{{death}, {}}});
    }
  }
}

void FailureDetector::pushUrgent(TimePoint now) {
  if (now - pushRefill_ >= kPushRefillPeriod) {
    pushRefill_ = now;
    pushTokens_ = std::min(pushTokens_ + 1, context_.options.pushBurst);
  }
  if (pushTokens_ > 0 && context_.queue.hasUrgent() && context_.table.liveCount() > 1) {
    --pushTokens_;
    pushTo(context_.options.fanout);
  }
}

void FailureDetector::pushTo(size_t members) {
  const MemberGossip gossip =
      context_.queue.take(context_.table, context_.options.pushUpdates, members);
  std::vector<NodeId> chosen;
  for (size_t index = 0; index < members; ++index) {
    const Member* member = context_.table.pick(context_.random, [&](const MemberEntry& entry) {
      return isTrustedEntry(entry) &&
             std::find(chosen.begin(), chosen.end(), entry.member.id) == chosen.end();
    });
    if (member == nullptr) {
      return;
    }
    chosen.push_back(member->id);
    context_.sink.send(member->controlEndpoint(), Message{gossip});
  }
}

void FailureDetector::runPeriodic(TimePoint now) {
  if (now >= nextSync_) {
    nextSync_ = now + context_.options.syncPeriod;
    sync_.begin();
  }
  if (now >= nextDeadRetry_) {
    nextDeadRetry_ = now + context_.options.deadRetryPeriod;
    retryDead();
  }
  if (now >= nextSeedRetry_) {
    nextSeedRetry_ = now + context_.options.seedRetryPeriod;
    retrySeed();
  }
  if (now >= nextPurge_) {
    nextPurge_ = now + kPurgePeriod;
    context_.table.purgeDead(now - context_.options.deadRetention);
  }
}

void FailureDetector::retryDead() {
  const Member* member = context_.table.pick(
      context_.random, [](const MemberEntry& entry) { return !isLiveEntry(entry) && !entry.left; });
  if (member != nullptr) {
    context_.sink.send(member->controlEndpoint(),
                       Message{Ping{context_.nextSequence(), {{updateOf(*member)}, {}}}});
  }
}

void FailureDetector::retrySeed() {
  if (joiner_.seeds().empty()) {
    return;
  }
  const Endpoint seed = joiner_.seeds()[context_.random.below(joiner_.seeds().size())];
  const auto& entries = context_.table.entries();
  const bool known = std::any_of(entries.begin(), entries.end(), [&](const MemberEntry& entry) {
    return isLiveEntry(entry) && entry.member.controlEndpoint() == seed;
  });
  if (!known) {
    context_.sink.send(seed, Message{Ping{context_.nextSequence(), {}}});
  }
}

}  // namespace umberhold
