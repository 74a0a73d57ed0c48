/** @file Merging of received membership updates into the failure detector's table. */
#include <algorithm>
#include <utility>

#include "common/membership/failure_detector.h"
#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Minimum interval between two anti-entropy exchanges that are triggered by revived members. */
constexpr Duration kRevivalSyncPeriod = std::chrono::seconds(2);
/** Maximum number of ids in one MemberQuery. */
constexpr size_t kMaxQueriedIds = 28;

}  // namespace

void FailureDetector::mergeGossip(TimePoint now, const Endpoint& from, NodeId sender,
                                  const MemberGossip& gossip) {
  for (const Member& member : gossip.joined) {
    mergeMember(now, member, true);
  }
  // A sender that is dead in this view may be on the other side of a partition, where all members
  // of this side are considered dead.
  const bool trusted = isKnownLive(sender);
  mergeUpdates(now, from, gossip.updates,
               trusted ? DeathClaimPolicy::kAccept : DeathClaimPolicy::kVerify);
}

void FailureDetector::mergeUpdates(TimePoint now, const Endpoint& from,
                                   const std::vector<MemberUpdate>& updates,
                                   DeathClaimPolicy claims) {
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

/** Refutes updates of this node that override its own state, and corrects older ones. */
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

/** Sends the reported death to the member and probes it: a member that is alive refutes it. */
void FailureDetector::verifyDeathClaim(TimePoint now, const MemberUpdate& claim) {
  const MemberEntry* entry = context_.table.find(claim.id);
  if (entry == nullptr || !overrides(claim.incarnation, claim.state, entry->member)) {
    return;
  }
  context_.sink.send(entry->member.controlEndpoint(), Message{MemberGossip{{claim}, {}}});
  prober_.probe(now, claim.id);
}

/** A member that was dead in this view is alive again: probes the other dead members sooner,
 * because a partition may have healed. */
void FailureDetector::onRevived(TimePoint now, const Endpoint& from) {
  nextDeadRetry_ = std::min(nextDeadRetry_, now + context_.options.deadRetryPeriodAfterRevival);
  if (now - lastRevivalSync_ >= kRevivalSyncPeriod) {
    lastRevivalSync_ = now;
    sync_.begin(from);
  }
}

}  // namespace umberhold
