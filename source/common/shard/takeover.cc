#include "common/shard/takeover.h"

#include <algorithm>
#include <utility>

namespace umberhold {

namespace {

/**
 * A candidate that still owns or acquires the shard is waited for until its last reply is this old.
 */
constexpr Duration kWaitRequestLifetime = std::chrono::seconds(1);

HeldState heldBy(const TakeoverReply& reply) {
  return HeldState{reply.role, reply.epoch, reply.sequence};
}

/** @return the candidate, or nullptr. */
template <class Candidates>
auto* findNode(Candidates& candidates, NodeId node) {
  const auto found = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const auto& candidate) { return candidate.node == node; });
  return found == candidates.end() ? nullptr : &*found;
}

/** @return whether the reply refers to a node that holds newer state than the sender. */
bool reportsHolder(const TakeoverReply& reply) {
  const bool refersToOwner = reply.role == HeldRole::kReleased || reply.role == HeldRole::kReplica;
  return refersToOwner && reply.successor != NodeId{};
}

}  // namespace

Takeover::Takeover(TimePoint now, Start start)
    : start_(std::move(start)),
      startedAt_(now),
      lastRequest_(now),
      highestEpoch_(start_.own.epoch),
      waitStartedAt_(now) {
  for (const NodeId& node : start_.candidates) {
    addCandidate(now, node);
  }
  if (start_.holder) {
    addHolder(now, *start_.holder, start_.own.epoch);
  }
}

const Takeover::Candidate* Takeover::find(NodeId node) const {
  return findNode(candidates_, node);
}

Takeover::Candidate* Takeover::find(NodeId node) {
  return findNode(candidates_, node);
}

void Takeover::addCandidate(TimePoint now, NodeId node) {
  if (node == start_.self || find(node) != nullptr) {
    return;
  }
  Candidate candidate;
  candidate.node = node;
  candidates_.push_back(candidate);
  waitStartedAt_ = now;
}

void Takeover::addHolder(TimePoint now, NodeId node, uint32_t epoch) {
  if (node == start_.self || start_.view.isDead(node)) {
    return;
  }
  addCandidate(now, node);
  Candidate* holder = find(node);
  if (holder->reportedAt && epoch <= holder->reportedEpoch) {
    return;
  }
  holder->reportedAt = now;
  holder->reportedEpoch = epoch;
  if (holder->answered && holder->reply.epoch < epoch) {
    holder->answered = false;
    holder->reply = TakeoverReply{};
    waitStartedAt_ = now;
  }
}

void Takeover::onReply(TimePoint now, NodeId sender, const TakeoverReply& reply) {
  if (reply.attempt != start_.attempt) {
    return;
  }
  Candidate* candidate = find(sender);
  if (candidate == nullptr) {
    return;
  }
  candidate->answered = true;
  candidate->lastAnswer = now;
  candidate->reply = reply;
  highestEpoch_ = std::max(highestEpoch_, reply.epoch);
  if (reply.role == HeldRole::kStillOwner) {
    servingNode_ = sender;
  }
  if (reportsHolder(reply)) {
    addHolder(now, reply.successor, reply.epoch);
  }
}

void Takeover::onOwnerAnnounced(TimePoint now, NodeId owner, uint32_t epoch) {
  addCandidate(now, owner);
  Candidate* candidate = find(owner);
  const bool releasedAlready = candidate == nullptr || releasedToSelf(*candidate);
  if (releasedAlready || epoch < highestEpoch_) {
    return;
  }
  highestEpoch_ = epoch;
  candidate->answered = true;
  candidate->lastAnswer = now;
  candidate->reply.role = HeldRole::kStillOwner;
  candidate->reply.epoch = epoch;
}

void Takeover::onChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk) {
  if (!fetch_ || fetch_->source != sender || chunk.attempt != start_.attempt) {
    return;
  }
  const uint32_t before = fetch_->assembler.next();
  fetch_->assembler.accept(chunk);
  if (fetch_->assembler.next() != before) {
    fetch_->lastProgress = now;
    fetch_->lastAck = TimePoint{};
  }
}

bool Takeover::mustWaitFor(TimePoint now, const Candidate& candidate) const {
  if (candidate.failed || isGone(now, candidate)) {
    return false;
  }
  if (!candidate.answered) {
    return now - waitStartedAt_ < kTimeout;
  }
  const bool ownsOrAcquires =
      candidate.reply.role == HeldRole::kStillOwner ||
      (candidate.reply.acquiring &&
       (start_.view.outranksSelf(candidate.node) || isTakingOver(now, candidate.node)));
  if (hasNewerHolder(now, candidate)) {
    return true;
  }
  return ownsOrAcquires && now - candidate.lastAnswer < kWaitRequestLifetime;
}

bool Takeover::isGone(TimePoint now, const Candidate& candidate) const {
  if (start_.view.isDead(candidate.node)) {
    return true;
  }
  const bool reportedRecently = candidate.reportedAt && now - *candidate.reportedAt < kFetchTimeout;
  return !candidate.answered && !reportedRecently && !start_.view.isReachable(candidate.node);
}

bool Takeover::isTakingOver(TimePoint now, NodeId node) const {
  return now - startedAt_ < kFetchTimeout &&
         std::any_of(candidates_.begin(), candidates_.end(), [&](const Candidate& former) {
           return former.reply.role == HeldRole::kReleased && former.reply.successor == node &&
                  former.reply.epoch >= highestEpoch_;
         });
}

bool Takeover::hasNewerHolder(TimePoint now, const Candidate& candidate) const {
  const NodeId holder = candidate.reply.successor;
  const bool reportsOtherHolder = reportsHolder(candidate.reply) && holder != start_.self;
  // The owner that a replica refers to may have died just now; released state still exists.
  const bool isReplica = candidate.reply.role == HeldRole::kReplica;
  const Duration timeout = isReplica ? kTimeout : kFetchTimeout;
  if (!reportsOtherHolder || now - startedAt_ >= timeout || start_.view.isDead(holder)) {
    return false;
  }
  const Candidate* queried = find(holder);
  if (queried == nullptr || !queried->answered) {
    return queried == nullptr || !start_.view.isReachable(holder);
  }
  return queried->reply.role == HeldRole::kStillOwner && !queried->failed;
}

bool Takeover::isUsable(TimePoint now, const Candidate& candidate) const {
  return candidate.answered && !candidate.failed && candidate.reply.role != HeldRole::kNothing &&
         candidate.reply.role != HeldRole::kStillOwner && !isGone(now, candidate);
}

const Takeover::Candidate* Takeover::bestCandidate(TimePoint now) const {
  const Candidate* bestCandidate = nullptr;
  for (const Candidate& candidate : candidates_) {
    const bool better =
        bestCandidate == nullptr || heldBy(bestCandidate->reply) < heldBy(candidate.reply);
    if (isUsable(now, candidate) && better) {
      bestCandidate = &candidate;
    }
  }
  return bestCandidate;
}

bool Takeover::releasedToSelf(const Candidate& candidate) const {
  return candidate.reply.role == HeldRole::kOwner ||
         (candidate.reply.role == HeldRole::kReleased && candidate.reply.successor == start_.self);
}

bool Takeover::isUnclaimed(const Candidate& candidate) const {
  const bool released = candidate.reply.role == HeldRole::kReleased;
  const Candidate* successor = released ? find(candidate.reply.successor) : nullptr;
  if (successor == nullptr || !successor->answered || successor->failed) {
    return false;
  }
  // It may hold a replica from before the release.
  const HeldRole role = successor->reply.role;
  const bool ownedNothing = role == HeldRole::kNothing || role == HeldRole::kReplica;
  return ownedNothing && !successor->reply.acquiring && candidate.reply.epoch >= highestEpoch_;
}

void Takeover::chooseSource(TimePoint now) {
  const Candidate* source = bestCandidate(now);
  if (source == nullptr || heldBy(source->reply) < start_.own) {
    return;
  }
  const bool isDecided = releasedToSelf(*source) && source->reply.epoch >= highestEpoch_;
  const bool waits = std::any_of(candidates_.begin(), candidates_.end(),
                                 [&](const auto& other) { return mustWaitFor(now, other); });
  if (isDecided || !waits) {
    const bool direct = releasedToSelf(*source) || isUnclaimed(*source);
    fetch_.emplace(Fetch{source->node, source->reply.role, direct, now, TimePoint{}, {}});
  }
}

void Takeover::pollFetch(TimePoint now, const SendAck& ack) {
  const bool lost =
      now - fetch_->lastProgress >= kFetchTimeout || isGone(now, *find(fetch_->source));
  if (lost && !fetch_->assembler.complete()) {
    find(fetch_->source)->failed = true;
    fetch_.reset();
    return;
  }
  if (now - fetch_->lastAck >= kRequestInterval) {
    fetch_->lastAck = now;
    ack(fetch_->source, SnapshotAck{start_.shard, SnapshotPurpose::kTakeover, start_.attempt,
                                    fetch_->assembler.next()});
  }
}

void Takeover::sendRequests(TimePoint now, const SendRequest& request) {
  if (requested_ && now - lastRequest_ < kRequestInterval) {
    return;
  }
  requested_ = true;
  lastRequest_ = now;
  for (const Candidate& candidate : candidates_) {
    const bool settled = candidate.answered && !mustWaitFor(now, candidate) &&
                         !candidate.reply.acquiring &&
                         candidate.reply.role != HeldRole::kStillOwner;
    if (!settled && !candidate.failed && !isGone(now, candidate)) {
      request(candidate.node, TakeoverRequest{start_.shard, start_.attempt, start_.own.epoch});
    }
  }
}

TakeoverOutcome Takeover::nothingToFetch(TimePoint now) const {
  bool allAnswered = true;
  bool memberDied = false;
  bool mayHaveRivals = false;
  for (const Candidate& candidate : candidates_) {
    if (mustWaitFor(now, candidate)) {
      return TakeoverPending{};
    }
    allAnswered = allAnswered && candidate.answered && !candidate.failed;
    memberDied = memberDied || candidate.reply.memberDied;
    mayHaveRivals = mayHaveRivals || candidate.reply.mayHaveRivals;
  }
  if (start_.own.role != HeldRole::kNothing) {
    return TakeoverOwnState{};
  }
  return TakeoverNothing{allAnswered, memberDied, mayHaveRivals};
}

TakeoverOutcome Takeover::poll(TimePoint now, const SendRequest& request, const SendAck& ack) {
  if (!fetch_) {
    chooseSource(now);
  }
  if (!fetch_) {
    sendRequests(now, request);
    return nothingToFetch(now);
  }
  pollFetch(now, ack);
  if (fetch_ && fetch_->assembler.complete()) {
    ack(fetch_->source, SnapshotAck{start_.shard, SnapshotPurpose::kTakeover, start_.attempt,
                                    fetch_->assembler.next()});
    return TakeoverFetched{fetch_->source, fetch_->role, fetch_->direct,
                           fetch_->assembler.assemble()};
  }
  return TakeoverPending{};
}

}  // namespace umberhold
