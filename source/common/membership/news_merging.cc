/** @file How a failure detector takes in what others say about members. */
#include <algorithm>
#include <utility>

#include "common/membership/failure_detector.h"
#include "common/wire/message.h"

namespace umberhold {
namespace {

constexpr Duration kRevivalSyncPeriod = std::chrono::seconds(2);
/** Ids in one MemberQuery. */
constexpr size_t kMaxQueriedIds = 28;

}  // namespace

void FailureDetector::mergeGossip(TimePoint now, const Endpoint& from, NodeId sender,
                                  const MemberGossip& gossip) {
  for (const Member& member : gossip.joined) {
    mergeMember(now, member, true);
  }
  // Who is dead itself in this view may come from across a partition: there, everybody here is
  // dead.
  const bool trusted = isKnownLive(sender);
  mergeUpdates(now, from, gossip.updates, trusted ? DeathClaimPolicy::kAccept : DeathClaimPolicy::kVerify);
}

void FailureDetector::mergeUpdates(TimePoint now, const Endpoint& from,
                                   const std::vector<MemberUpdate>& updates, DeathClaimPolicy claims) {
  MemberQuery unknown;
  for (MemberUpdate update : updates) {
    if (update.state == MemberState::kSuspect) {
      update.state = MemberState::kAlive;
    }
    if (update.id == self()) {
      mergeSelf(now, from, update);
      continue;
    }
    if (update.state == MemberState::kDead && claims == DeathClaimPolicy::kVerify) {
      verifyDeathClaim(now, update);
      continue;
    }
    const bool wasDead = isDeadEntry(context_.table.find(update.id));
    const MergeOutcome outcome = context_.table.merge(now, update);
    if (outcome == MergeOutcome::kUnknown && unknown.ids.size() < kMaxQueriedIds) {
      unknown.ids.push_back(update.id);
    } else if (outcome == MergeOutcome::kChanged) {
      queueAndNotify(update.id, false);
      if (wasDead) {
        onRevived(now, from);
      }
    }
  }
  if (!unknown.ids.empty()) {
    context_.sink.send(from, Message{std::move(unknown)});
  }
}

void FailureDetector::mergeMember(TimePoint now, const Member& member, bool spread) {
  if (member.id == self()) {
    mergeSelf(now, member.controlEndpoint(), updateOf(member));
    return;
  }
  const MergeOutcome outcome = context_.table.merge(now, member);
  if (outcome != MergeOutcome::kAdded && outcome != MergeOutcome::kChanged) {
    return;
  }
  if (spread) {
    queueAndNotify(member.id, outcome == MergeOutcome::kAdded);
  } else {
    notify(member.id);
  }
}

/** Refutes news of this node that overrides what it says of itself, and corrects older news. */
void FailureDetector::mergeSelf(TimePoint now, const Endpoint& from, const MemberUpdate& update) {
  const Member& own = selfMember();
  if (left_ || update == updateOf(own)) {
    return;
  }
  if (overrides(update.incarnation, update.state, own)) {
    context_.table.setSelf(now, update.incarnation + 1, own.state);
    queueAndNotify(self(), false);
  }
  if (from != own.controlEndpoint()) {
    context_.sink.send(from, Message{MemberGossip{{updateOf(selfMember())}, {}}});
  }
}

/** Tells the member that it is said to be dead, and probes it: if it lives it refutes by itself. */
void FailureDetector::verifyDeathClaim(TimePoint now, const MemberUpdate& claim) {
  const MemberEntry* entry = context_.table.find(claim.id);
  if (entry == nullptr || !overrides(claim.incarnation, claim.state, entry->member)) {
    return;
  }
  context_.sink.send(entry->member.controlEndpoint(), Message{MemberGossip{{claim}, {}}});
  prober_.probe(now, claim.id);
}

/** A member that was dead here is back: others from its side of a partition may be, too. */
void FailureDetector::onRevived(TimePoint now, const Endpoint& from) {
  nextDeadRetry_ = std::min(nextDeadRetry_, now + context_.options.deadRetryPeriodAfterRevival);
  if (now - lastRevivalSync_ >= kRevivalSyncPeriod) {
    lastRevivalSync_ = now;
    sync_.begin(from);
  }
}

}  // namespace umberhold
