/** @file Which state the acquiring side of a takeover picks, and what it may believe of it. */
#include "common/shard/takeover.h"

#include <optional>
#include <set>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr NodeId kSelf{1};
constexpr NodeId kFormer{2};
constexpr NodeId kOther{3};
constexpr NodeId kNewcomer{4};
constexpr uint32_t kAttempt = 1;
constexpr Duration kStep = std::chrono::milliseconds(10);
const ShardId kShard{ServiceId{7}, 0};

/** One attempt of kSelf, whose view holds kFormer and kOther at first. */
struct Attempt {
  /** @param copiedFrom owner of the copy that kSelf holds, if any. */
  explicit Attempt(std::optional<NodeId> copiedFrom = std::nullopt)
      : takeover(now, start(copiedFrom)) {}

  Takeover::Start start(std::optional<NodeId> copiedFrom) {
    Takeover::Start start;
    start.own = copiedFrom ? HeldState{HeldRole::kReplica, 2, 1} : HeldState{};
    start.holder = copiedFrom;
    start.shard = kShard;
    start.self = kSelf;
    start.attempt = kAttempt;
    start.candidates = {kFormer, kOther};
    start.view.isDead = [this](NodeId node) { return dead.contains(node); };
    start.view.isReachable = [this](NodeId node) { return reachable.contains(node); };
    start.view.outranksSelf = [](NodeId) { return false; };
    return start;
  }

  TakeoverOutcome poll() {
    now += kStep;
    return takeover.poll(
        now, [this](NodeId node, const TakeoverRequest&) { asked.insert(node); },
        [this](NodeId node, const SnapshotAck&) { fetchedFrom.insert(node); });
  }

  void answer(NodeId sender, HeldRole role, uint32_t epoch, NodeId successor = {},
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

  /** Delivers an empty state that claims to list all flows. */
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
  std::set<NodeId> reachable{kFormer, kOther};
  std::set<NodeId> dead;
  std::set<NodeId> asked;
  std::set<NodeId> fetchedFrom;
  Takeover takeover;
};

}  // namespace

TEST_GROUP(Takeover){};

/** Found in a run with real processes: nodes that start together learn of each other unevenly. */
TEST(Takeover, AsksTheLivingOwnerThatAReplicaNamesBeforeItTakesTheCopy) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReplica, 2, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  for (int step = 0; step < 20; ++step) {
    attempt.poll();
  }
  CHECK(attempt.asked.contains(kNewcomer));
  CHECK(attempt.fetchedFrom.empty());

  attempt.answer(kNewcomer, HeldRole::kOwner, 2);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kNewcomer, 2);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK(fetched->direct);
}

/** Found in simulated starts: it had answered while it was still fetching that state. */
TEST(Takeover, AsksTheOwnerThatAReplicaNamesAgainIfItAnsweredBefore) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.asked.clear();
  attempt.answer(kFormer, HeldRole::kReplica, 2, kOther);
  for (int step = 0; step < 20; ++step) {
    attempt.poll();
  }
  CHECK(attempt.asked.contains(kOther));
  CHECK(attempt.fetchedFrom.empty());
  attempt.answer(kOther, HeldRole::kOwner, 2);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kOther));
}

TEST(Takeover, AsksTheLivingOwnerOfItsOwnCopy) {
  Attempt attempt(kNewcomer);
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kNothing, 0);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  CHECK(std::holds_alternative<TakeoverPending>(attempt.poll()));
  CHECK(attempt.asked.contains(kNewcomer));
  attempt.answer(kNewcomer, HeldRole::kOwner, 2);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kNewcomer));
}

TEST(Takeover, TakesItsOwnCopyOfADeadOwnerAtOnce) {
  Attempt attempt(kNewcomer);
  attempt.dead.insert(kNewcomer);
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kNothing, 0);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  CHECK(std::holds_alternative<TakeoverOwnState>(attempt.poll()));
}

TEST(Takeover, TakesTheCopyOfAnOwnerThatIsDead) {
  Attempt attempt;
  attempt.dead.insert(kNewcomer);
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReplica, 2, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormer));
}

TEST(Takeover, TakesTheCopyOfAnOwnerThatDoesNotAnswer) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReplica, 2, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  for (TimePoint end = attempt.now + Takeover::kTimeout * 2; attempt.now < end;) {
    attempt.poll();
  }
  CHECK(attempt.fetchedFrom.contains(kFormer));
  const TakeoverOutcome outcome = attempt.deliver(kFormer, 2);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK_FALSE(fetched->direct);
}

/** Found in a run with real processes: the owner had released the shard, but counted as joining. */
TEST(Takeover, FetchesFromAnOwnerThatTheViewDoesNotHoldYet) {
  Attempt attempt;
  attempt.poll();
  attempt.takeover.onOwnerAnnounced(attempt.now, kNewcomer, 3);
  attempt.answer(kNewcomer, HeldRole::kOwner, 3);
  attempt.answer(kFormer, HeldRole::kReplica, 3, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kNewcomer));
  CHECK_FALSE(attempt.fetchedFrom.contains(kFormer));
}

/** Found in a run with real processes: the successor's view had named another node meanwhile. */
TEST(Takeover, StateThatItsSuccessorDidNotTakeIsComplete) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kOther);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kFormer, 1);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK(fetched->direct);
}

TEST(Takeover, StateIsCompleteWhereItsSuccessorKeepsOnlyACopyOfIt) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kOther);
  attempt.answer(kOther, HeldRole::kReplica, 1, kFormer);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kFormer, 1);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK(fetched->direct);
}

TEST(Takeover, StateIsIncompleteWhereItsSuccessorMayHaveDiedAsOwner) {
  Attempt attempt;
  attempt.dead.insert(kNewcomer);
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  const TakeoverOutcome outcome = attempt.deliver(kFormer, 1);
  const auto* fetched = std::get_if<TakeoverFetched>(&outcome);
  CHECK(fetched != nullptr);
  CHECK_FALSE(fetched->direct);
}

/** Found by fuzzing: two owners decided apart until the view came to hold the successor. */
TEST(Takeover, StateThatWentToANodeTheViewLacksIsNotTakenBesideItFor3Seconds) {
  Attempt attempt;
  const TimePoint end = attempt.now + Takeover::kFetchTimeout;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  while (attempt.now + kStep < end) {
    CHECK(std::holds_alternative<TakeoverPending>(attempt.poll()));
  }
  CHECK(attempt.asked.contains(kNewcomer));
  CHECK(attempt.fetchedFrom.empty());
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormer));
}

TEST(Takeover, StateIsNotTakenBesideItsSuccessorThatStillFetchesIt) {
  Attempt attempt;
  const TimePoint end = attempt.now + Takeover::kFetchTimeout;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  while (attempt.now + kStep < end) {
    attempt.answer(kNewcomer, HeldRole::kNothing, 0, {}, true);
    attempt.poll();
  }
  CHECK(attempt.fetchedFrom.empty());
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormer));
}

TEST(Takeover, StateIsNotTakenBesideItsSuccessorThatOwnsTheShard) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.answer(kNewcomer, HeldRole::kStillOwner, 2);
  for (int step = 0; step < 50; ++step) {
    attempt.poll();
  }
  CHECK(attempt.fetchedFrom.empty());
  attempt.answer(kNewcomer, HeldRole::kOwner, 2);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kNewcomer));
  CHECK_FALSE(attempt.fetchedFrom.contains(kFormer));
}

TEST(Takeover, StateThatWentToADeadNodeIsTakenAtOnce) {
  Attempt attempt;
  attempt.dead.insert(kNewcomer);
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReleased, 1, kNewcomer);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.poll();
  CHECK(attempt.fetchedFrom.contains(kFormer));
}

/** Found by fuzzing: the joiner was heard to own the shard, but no view held it yet. */
TEST(Takeover, CopyIsNotTakenWhileAnOwnerThatTheViewLacksIsHeard) {
  Attempt attempt;
  attempt.poll();
  attempt.answer(kFormer, HeldRole::kReplica, 2);
  attempt.answer(kOther, HeldRole::kNothing, 0);
  attempt.takeover.onOwnerAnnounced(attempt.now, kNewcomer, 2);
  for (int step = 0; step < 50; ++step) {
    attempt.poll();
  }
  CHECK(attempt.asked.contains(kNewcomer));
  CHECK(attempt.fetchedFrom.empty());
}
