/**
 * @file The acquiring side of a takeover: asks the candidates, picks the best state, fetches it.
 *
 * States are ordered by epoch, then by role (owner before released before replica), then by
 * replication sequence. See docs/DESIGN.md, "Ownership".
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"
#include "common/shard/shard_content.h"
#include "common/shard/snapshot.h"

namespace umberhold {

/** What a node holds of a shard. */
struct HeldState {
  HeldRole role = HeldRole::kNothing;
  uint32_t epoch = 0;
  uint32_t sequence = 0;

  /** Orders by how good a source the state is. */
  auto operator<=>(const HeldState& other) const {
    return std::tie(epoch, role, sequence) <=> std::tie(other.epoch, other.role, other.sequence);
  }
  bool operator==(const HeldState&) const = default;
};

/** Not finished. */
struct TakeoverPending {};
/** The state that this node itself holds is the best. */
struct TakeoverOwnState {};
/** Another node's state arrived. */
struct TakeoverFetched {
  NodeId source;
  HeldRole role = HeldRole::kNothing;
  /** The source was the owner, and no other node can have owned the shard since. */
  bool direct = false;
  ShardContent content;
};
/** Nobody who can be reached holds any state. */
struct TakeoverNothing {
  /** Every candidate said so itself. */
  bool allAnswered = false;
  /** A candidate knows of a member that died, perhaps with the state. */
  bool memberDied = false;
  /** A candidate holds that an owner may live where it is not heard. */
  bool mayHaveRivals = false;
};
using TakeoverOutcome =
    std::variant<TakeoverPending, TakeoverOwnState, TakeoverFetched, TakeoverNothing>;

/** How members stand to this node's claim, from its view. */
struct TakeoverView {
  /** The member is known to be dead. */
  std::function<bool(NodeId)> isDead;
  /** The member is not known to be dead. */
  std::function<bool(NodeId)> isReachable;
  /** The member outranks this node for the shard. */
  std::function<bool(NodeId)> outranksSelf;
};

/** One attempt to take a shard over. Not thread safe. */
class Takeover {
 public:
  static constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
  /** Candidates that don't answer within this time are passed over. */
  static constexpr Duration kTimeout = std::chrono::seconds(1);
  /** A chosen source that sends nothing new for this long is passed over. */
  static constexpr Duration kFetchTimeout = std::chrono::seconds(3);

  struct Start {
    ShardId shard;
    NodeId self;
    uint32_t attempt = 0;
    HeldState own;
    /** Who holds a newer state than `own`: the owner that it is a copy of, or the successor. */
    std::optional<NodeId> holder;
    std::vector<NodeId> candidates;
    TakeoverView view;
  };
  using SendRequest = std::function<void(NodeId, const TakeoverRequest&)>;
  using SendAck = std::function<void(NodeId, const SnapshotAck&)>;

  Takeover(TimePoint now, Start start);

  /** Sends what is due. @return where the attempt stands; after an end it must not be used again.
   */
  TakeoverOutcome poll(TimePoint now, const SendRequest& request, const SendAck& ack);
  void onReply(TimePoint now, NodeId sender, const TakeoverReply& reply);
  void onChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk);
  /** A node was heard to own the shard just now: its state must not be passed over. */
  void onOwnerAnnounced(TimePoint now, NodeId owner, uint32_t epoch);

  uint32_t attempt() const { return start_.attempt; }
  /** @return the highest epoch that anyone named. */
  uint32_t highestEpoch() const { return highestEpoch_; }
  /** @return the node that still serves the shard, where one is known. */
  std::optional<NodeId> server() const { return server_; }
  bool timedOut(TimePoint now) const { return now - startedAt_ >= kTimeout; }

 private:
  struct Candidate {
    NodeId node;
    bool answered = false;
    bool failed = false;
    /** When an answer named it as the holder of a newer state; it may be new to the view. */
    std::optional<TimePoint> namedAt;
    uint32_t namedEpoch = 0;
    TimePoint lastAnswer{};
    TakeoverReply reply;
  };
  struct Fetch {
    NodeId source;
    HeldRole role = HeldRole::kNothing;
    bool direct = false;
    TimePoint lastProgress{};
    TimePoint lastAck{};
    SnapshotAssembler assembler;
  };

  Candidate* find(NodeId node);
  const Candidate* find(NodeId node) const;
  void addCandidate(TimePoint now, NodeId node);
  /**
   * A state of the epoch went on to the node, or is a copy of its state: it must be asked, though
   * the view may not hold it yet, and asked again if it answered before it had that state.
   */
  void addHolder(TimePoint now, NodeId node, uint32_t epoch);
  bool mustWaitFor(TimePoint now, const Candidate& candidate) const;
  /** @return whether it is dead, or unknown to the view and neither heard nor named just now. */
  bool isGone(TimePoint now, const Candidate& candidate) const;
  /**
   * @return whether the newest state was released to the node, which is fetching it: it decides by
   * it as soon as it has it, whoever else takes the same state.
   */
  bool isTakingOver(TimePoint now, NodeId node) const;
  /** @return whether a node that is yet to answer holds a newer state than the candidate. */
  bool hasNewerHolder(TimePoint now, const Candidate& candidate) const;
  bool isUsable(TimePoint now, const Candidate& candidate) const;
  const Candidate* best(TimePoint now) const;
  bool releasedToSelf(const Candidate& candidate) const;
  /** @return whether the state was released to a node that says that it never took it. */
  bool isUnclaimed(const Candidate& candidate) const;
  void sendRequests(TimePoint now, const SendRequest& request);
  void choose(TimePoint now);
  void pollFetch(TimePoint now, const SendAck& ack);
  TakeoverOutcome nothingToFetch(TimePoint now) const;

  Start start_;
  TimePoint startedAt_;
  TimePoint lastRequest_;
  bool requested_ = false;
  uint32_t highestEpoch_ = 0;
  std::optional<NodeId> server_;
  std::vector<Candidate> candidates_;
  /** When a candidate was last added or last asked for patience. */
  TimePoint waitStartedAt_;
  std::optional<Fetch> fetch_;
};

}  // namespace umberhold
