/**
 * @file The acquiring side of a takeover: queries the candidates, selects the best state, fetches
 * it.
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

/** The state that a node holds of a shard. */
struct HeldState {
  HeldRole role = HeldRole::kNothing;
  uint32_t epoch = 0;
  uint32_t sequence = 0;

  /** Orders states by their suitability as a source. */
  auto operator<=>(const HeldState& other) const {
    return std::tie(epoch, role, sequence) <=> std::tie(other.epoch, other.role, other.sequence);
  }
  bool operator==(const HeldState&) const = default;
};

/** The attempt is not finished. */
struct TakeoverPending {};
/** This node's own state is the best. */
struct TakeoverOwnState {};
/** State was fetched from another node. */
struct TakeoverFetched {
  NodeId source;
  HeldRole role = HeldRole::kNothing;
  /** The source was the owner, and no other node can have owned the shard since. */
  bool direct = false;
  ShardContent content;
};
/** No reachable node holds any state. */
struct TakeoverNothing {
  /** Every candidate replied. */
  bool allAnswered = false;
  /** A candidate's view contains a dead member that may have held the state. */
  bool memberDied = false;
  /** A candidate reports that an unreachable owner may be alive. */
  bool mayHaveRivals = false;
};
using TakeoverOutcome =
    std::variant<TakeoverPending, TakeoverOwnState, TakeoverFetched, TakeoverNothing>;

/** Membership queries, answered from this node's view. */
struct TakeoverView {
  /** The member is known to be dead. */
  std::function<bool(NodeId)> isDead;
  /** The member is in the view, joined and not known to be dead. */
  std::function<bool(NodeId)> isReachable;
  /** The member outranks this node for the shard. */
  std::function<bool(NodeId)> outranksSelf;
};

/** One attempt to take over a shard. Not thread safe. */
class Takeover {
 public:
  static constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
  /** Candidates that do not reply within this time are skipped. */
  static constexpr Duration kTimeout = std::chrono::seconds(1);
  /** A selected source that sends nothing new for this long is skipped. */
  static constexpr Duration kFetchTimeout = std::chrono::seconds(3);

  struct Start {
    ShardId shard;
    NodeId self;
    uint32_t attempt = 0;
    HeldState own;
    /** Holder of newer state than `own`: the owner of the replicated state, or the successor. */
    std::optional<NodeId> holder;
    std::vector<NodeId> candidates;
    TakeoverView view;
  };
  using SendRequest = std::function<void(NodeId, const TakeoverRequest&)>;
  using SendAck = std::function<void(NodeId, const SnapshotAck&)>;

  Takeover(TimePoint now, Start start);

  /** Sends due messages. @return the state of the attempt; it must not be used after its end. */
  TakeoverOutcome poll(TimePoint now, const SendRequest& request, const SendAck& ack);
  void onReply(TimePoint now, NodeId sender, const TakeoverReply& reply);
  void onChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk);
  /** Handles a recent ownership announcement: the owner's state must not be skipped. */
  void onOwnerAnnounced(TimePoint now, NodeId owner, uint32_t epoch);

  uint32_t attempt() const { return start_.attempt; }
  /** @return the highest epoch in any reply or announcement. */
  uint32_t highestEpoch() const { return highestEpoch_; }
  /** @return the node that still serves the shard, if known. */
  std::optional<NodeId> servingNode() const { return servingNode_; }
  bool timedOut(TimePoint now) const { return now - startedAt_ >= kTimeout; }

 private:
  struct Candidate {
    NodeId node;
    bool answered = false;
    bool failed = false;
    /**
     * When a reply reported the node as the holder of newer state; the view may not contain it yet.
     */
    std::optional<TimePoint> reportedAt;
    uint32_t reportedEpoch = 0;
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
   * Adds a node that received state of the epoch, or from whose state a replica was made. It must
   * be queried even if the view does not contain it yet, and again if it replied before it had that
   * state.
   */
  void addHolder(TimePoint now, NodeId node, uint32_t epoch);
  bool mustWaitFor(TimePoint now, const Candidate& candidate) const;
  /**
   * @return whether the node is dead, or is not in the view and has neither replied nor been
   * reported recently.
   */
  bool isGone(TimePoint now, const Candidate& candidate) const;
  /**
   * @return whether the newest state was released to the node and the node is fetching it: it
   * becomes the owner once it has the state, even if another node fetches the same state.
   */
  bool isTakingOver(TimePoint now, NodeId node) const;
  /**
   * @return whether the candidate reported a holder of newer state that still owns the shard, or
   * that cannot be reached yet. A reachable holder is waited for as a candidate of its own.
   */
  bool hasNewerHolder(TimePoint now, const Candidate& candidate) const;
  bool isUsable(TimePoint now, const Candidate& candidate) const;
  const Candidate* bestCandidate(TimePoint now) const;
  bool releasedToSelf(const Candidate& candidate) const;
  /** @return whether the state was released to a node that reports that it never took it over. */
  bool isUnclaimed(const Candidate& candidate) const;
  void sendRequests(TimePoint now, const SendRequest& request);
  void chooseSource(TimePoint now);
  void pollFetch(TimePoint now, const SendAck& ack);
  TakeoverOutcome nothingToFetch(TimePoint now) const;

  Start start_;
  TimePoint startedAt_;
  TimePoint lastRequest_;
  bool requested_ = false;
  uint32_t highestEpoch_ = 0;
  std::optional<NodeId> servingNode_;
  std::vector<Candidate> candidates_;
  /** When a candidate was last added or its query was last restarted. */
  TimePoint waitStartedAt_;
  std::optional<Fetch> fetch_;
};

}  // namespace umberhold
