/**
 * @file Which state the acquiring side of a takeover selects, and whether it counts as complete.
 */
#include "common/shard/takeover.h"

#include <optional>
#include <set>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr NodeId kSelf{1};
constexpr NodeId kFormerOwner{2};
constexpr NodeId kOther{3};
constexpr NodeId kNewNode{4};
constexpr uint32_t kAttempt = 1;
constexpr Duration kStep = std::chrono::milliseconds(10);
const ShardId kShard{ServiceId{7}, 0};

/** One attempt of kSelf, whose view initially contains kFormerOwner and kOther. */
struct Attempt {
  /** @param replicaOwner owner of the copy that kSelf holds, if any. */
  explicit Attempt(std::optional<NodeId> replicaOwner = std::nullopt)
      : takeover(now, start(replicaOwner)) {}

  Takeover::Start start(std::optional<NodeId> replicaOwner) {
    Takeover::Start start;
    start.own = replicaOwner ? HeldState{HeldRole::kReplica, 2, 1} : HeldState{};
    start.holder = replicaOwner;
    start.shard = kShard;
    start.self = kSelf;
    start.attempt = kAttempt;
    start.candidates = {kFormerOwner, kOther};
    start.view.isDead = [this](NodeId node) { return dead.contains(node); };
    start.view.isReachable = [this](NodeId node) { return reachable.contains(node); };
    start.view.outranksSelf = [](NodeId) { return false; };
    return start;
  }

  TakeoverOutcome poll() {
    now += kStep;
    return takeover.poll(
        now, [this](NodeId node, const TakeoverRequest&) { requestedFrom.insert(node); },
        [this](NodeId node, const SnapshotAck&) { fetchedFrom.insert(node); });
  }

  void replyFrom(NodeId sender, HeldRole role, uint32_t epoch, NodeId successor = {},
                 bool acquiring = false) {
    TakeoverReply reply;
    reply.shard = kShard;
    reply.attempt = kAttempt;
    reply.role = role;
    reply.epoch = epoch;
    reply.successor = successor;
    reply.acquiring = acquiring;
    takeover.onReply(now, sender, reply);
  }

  /** Delivers an empty state that is marked as listing all flows. */
  TakeoverOutcome deliver(NodeId sender, uint32_t epoch) {
    SnapshotChunk chunk;
    chunk.shard = kShard;
    chunk.attempt = kAttempt;
    chunk.epoch = epoch;
    chunk.chunks = 1;
    chunk.knowsAllFlows = true;
    takeover.onChunk(now, sender, chunk);
    return poll();
  }

  TimePoint now{std::chrono::seconds(100)};
  std::set<NodeId> reachable{kFormerOwner, kOther};
  std::set<NodeId> dead;
  std::set<NodeId> requestedFrom;
  std::set<NodeId> fetchedFrom;
  Takeover takeover;
};

}  // namespace

TEST_GROUP(Takeover){};

/** Nodes that start together receive each other's joins at different times. */
TEST(Takeover, QueriesLiveOwnerReportedByReplicaBeforeFetchingCopy) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReplica, 2, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  for (int step = 0; step < 20; ++step) {
    attempt.poll();
  }
  CHECK(attempt.requestedFrom.contains(kNewNode));
  CHECK(attempt.fetchedFrom.empty());

  attempt.replyFrom(kNewNode, HeldRole::kOwner, 2);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kNewNode, 2);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK(fetched->direct);
}

/** The node had replied while it was still fetching that state. */
TEST(Takeover, QueriesOwnerReportedByReplicaAgainAfterEarlierReply) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.requestedFrom.clear();
  attempt.replyFrom(kFormerOwner, HeldRole::kReplica, 2, kOther);
  for (int step = 0; step < 20; ++step) {
    attempt.poll();
  }
  CHECK(attempt.requestedFrom.contains(kOther));
  CHECK(attempt.fetchedFrom.empty());
  attempt.replyFrom(kOther, HeldRole::kOwner, 2);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kOther));
}

TEST(Takeover, QueriesLiveOwnerOfOwnReplica) {
  Attempt attempt(kNewNode);
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kNothing, 0);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  CHECK(std::holds_alternative<TakeoverPending>(attempt.poll()));
  CHECK(attempt.requestedFrom.contains(kNewNode));
  attempt.replyFrom(kNewNode, HeldRole::kOwner, 2);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kNewNode));
}

TEST(Takeover, UsesOwnReplicaOfDeadOwnerAtOnce) {
  Attempt attempt(kNewNode);
  attempt.dead.insert(kNewNode);
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kNothing, 0);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  CHECK(std::holds_alternative<TakeoverOwnState>(attempt.poll()));
}

TEST(Takeover, FetchesReplicaOfDeadOwner) {
  Attempt attempt;
  attempt.dead.insert(kNewNode);
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReplica, 2, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormerOwner));
}

TEST(Takeover, FetchesReplicaOfUnresponsiveOwner) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReplica, 2, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  for (TimePoint end = attempt.now + Takeover::kTimeout * 2; attempt.now < end;) {
    attempt.poll();
  }
  CHECK(attempt.fetchedFrom.contains(kFormerOwner));
  const TakeoverOutcome outcome = attempt.deliver(kFormerOwner, 2);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK_FALSE(fetched->direct);
}

/** The owner had released the shard, but was still joining in the view. */
TEST(Takeover, FetchesFromOwnerMissingFromView) {
  Attempt attempt;
  attempt.poll();
  attempt.takeover.onOwnerAnnounced(attempt.now, kNewNode, 3);
  attempt.replyFrom(kNewNode, HeldRole::kOwner, 3);
  attempt.replyFrom(kFormerOwner, HeldRole::kReplica, 3, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kNewNode));
  CHECK_FALSE(attempt.fetchedFrom.contains(kFormerOwner));
}

/** The successor's view had assigned the shard to another node in the meantime. */
TEST(Takeover, StateNotTakenOverBySuccessorIsComplete) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kOther);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kFormerOwner, 1);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK(fetched->direct);
}

TEST(Takeover, StateIsCompleteWhereSuccessorHoldsOnlyReplica) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kOther);
  attempt.replyFrom(kOther, HeldRole::kReplica, 1, kFormerOwner);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kFormerOwner, 1);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK(fetched->direct);
}

TEST(Takeover, StateIsIncompleteWhereSuccessorMayHaveDiedAsOwner) {
  Attempt attempt;
  attempt.dead.insert(kNewNode);
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kFormerOwner, 1);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK_FALSE(fetched->direct);
}

/** Two owners decided independently until the view contained the successor. */
TEST(Takeover, WaitsThreeSecondsForSuccessorMissingFromView) {
  Attempt attempt;
  const TimePoint end = attempt.now + Takeover::kFetchTimeout;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  while (attempt.now + kStep < end) {
    CHECK(std::holds_alternative<TakeoverPending>(attempt.poll()));
  }
  CHECK(attempt.requestedFrom.contains(kNewNode));
  CHECK(attempt.fetchedFrom.empty());
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormerOwner));
}

TEST(Takeover, WaitsForSuccessorThatStillFetchesState) {
  Attempt attempt;
  const TimePoint end = attempt.now + Takeover::kFetchTimeout;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  while (attempt.now + kStep < end) {
    attempt.replyFrom(kNewNode, HeldRole::kNothing, 0, {}, true);
    attempt.poll();
  }
  CHECK(attempt.fetchedFrom.empty());
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormerOwner));
}

TEST(Takeover, DoesNotFetchStateWhileSuccessorOwnsShard) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.replyFrom(kNewNode, HeldRole::kStillOwner, 2);
  for (int step = 0; step < 50; ++step) {
    attempt.poll();
  }
  CHECK(attempt.fetchedFrom.empty());
  attempt.replyFrom(kNewNode, HeldRole::kOwner, 2);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kNewNode));
  CHECK_FALSE(attempt.fetchedFrom.contains(kFormerOwner));
}

TEST(Takeover, FetchesStateOfDeadSuccessorAtOnce) {
  Attempt attempt;
  attempt.dead.insert(kNewNode);
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReleased, 1, kNewNode);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormerOwner));
}

/** A joining node had announced its ownership, but no view contained it yet. */
TEST(Takeover, DoesNotFetchReplicaWhileOwnerMissingFromViewIsAlive) {
  Attempt attempt;
  attempt.poll();
  attempt.replyFrom(kFormerOwner, HeldRole::kReplica, 2);
  attempt.replyFrom(kOther, HeldRole::kNothing, 0);
  attempt.takeover.onOwnerAnnounced(attempt.now, kNewNode, 2);
  for (int step = 0; step < 50; ++step) {
    attempt.poll();
  }
  CHECK(attempt.requestedFrom.contains(kNewNode));
  CHECK(attempt.fetchedFrom.empty());
}
