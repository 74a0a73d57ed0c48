/**
 * @file Assignment of an owner and a replica to each shard among the members of the region.
 *
 * Rendezvous hashing (Thaler, Ravishankar, 1998) ranks the live members for every shard. Membership
 * changes update the map incrementally: a join compares one score per shard, a loss ranks again
 * only the shards that were assigned to the lost member.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/messages/member.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** Members that one view assigns to a shard. */
struct ShardAssignment {
  NodeId owner;
  /**
   * The best-ranked member of another zone, or of the same zone if there is no other; none if the
   * owner is the only member.
   */
  std::optional<NodeId> replica;

  bool operator==(const ShardAssignment&) const = default;
};

/** The assignment of shards to members according to this node's view. Not thread safe. */
class ShardMap {
 public:
  explicit ShardMap(NodeId self) : self_(self) {}

  /** Adds a service or changes its number of shards. */
  void setService(ServiceId service, uint16_t shardCount);
  void removeService(ServiceId service);
  /** Applies the new state of a member; only kAlive and kSuspect members are assigned to shards. */
  void onMember(const Member& member);

  /** @return the assignment; nothing for an unknown shard or if no member is live. */
  std::optional<ShardAssignment> lookup(const ShardId& shard) const;
  /** @return up to `limit` live members, best first. */
  std::vector<NodeId> ranked(const ShardId& shard, size_t limit) const;
  /** @return the best-ranked live member of every zone, best first. */
  std::vector<NodeId> highestRankedPerZone(const ShardId& shard) const;
  /** @return the rendezvous score of a member for a shard; equal on all nodes. */
  static uint64_t score(const ShardId& shard, NodeId member);

  /**
   * @return the shards whose owner or replica was, or became, this node through a change since the
   * last call.
   */
  std::vector<ShardId> takeChangedShards();
  size_t liveMembers() const { return members_.size(); }
  size_t shardCount() const;

 private:
  struct LiveMember {
    NodeId id;
    ZoneId zone;
  };
  /** A member with its score for the shard. */
  struct RankedMember {
    uint64_t score = 0;
    LiveMember member;
    bool present = false;
  };
  struct Assignment {
    RankedMember owner;
    RankedMember replica;
  };
  using Assignments = std::vector<Assignment>;

  void addMember(const LiveMember& member);
  void removeMember(NodeId id);
  void insertInto(const ShardId& shard, Assignment& assignment, const LiveMember& member);
  void rerank(const ShardId& shard, Assignment& assignment);
  void recordChange(const ShardId& shard, const Assignment& before, const Assignment& after);
  static bool betterReplica(const RankedMember& owner, const RankedMember& candidate,
                            const RankedMember& current);

  NodeId self_;
  std::vector<LiveMember> members_;
  std::unordered_map<ServiceId, Assignments> services_;
  std::vector<ShardId> changed_;
};

}  // namespace umberhold
