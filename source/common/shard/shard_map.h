/**
 * @file Which member of the region should own each shard, and which should replicate it.
 *
 * Rendezvous hashing (Thaler, Ravishankar, 1998) ranks the live members for every shard. The map is
 * kept up to date by single changes of members: a join compares one score a shard, a loss ranks
 * again only the shards that the lost member led.
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

/** Members named for a shard by one view. */
struct ShardAssignment {
  NodeId owner;
  /** The best-ranked member of another zone, or of the same zone where there is no other; none if
   * alone. */
  std::optional<NodeId> replica;

  bool operator==(const ShardAssignment&) const = default;
};

/** The assignment of shards to members, by this node's view. Not thread safe. */
class ShardMap {
 public:
  explicit ShardMap(NodeId self) : self_(self) {}

  /** Adds a service, or changes its number of shards. */
  void setService(ServiceId service, uint16_t shardCount);
  void removeService(ServiceId service);
  /** Takes the new state of a member; only kAlive and kSuspect members are named. */
  void onMember(const Member& member);

  /** @return who should own the shard; nothing for an unknown shard or where no member is live. */
  std::optional<ShardAssignment> lookup(const ShardId& shard) const;
  /** @return up to `limit` live members, best first. */
  std::vector<NodeId> ranked(const ShardId& shard, size_t limit) const;
  /** @return the best-ranked live member of every zone, best first. */
  std::vector<NodeId> highestRankedPerZone(const ShardId& shard) const;
  /** @return the rendezvous score of a member for a shard; the same on every node. */
  static uint64_t score(const ShardId& shard, NodeId member);

  /** @return the shards whose owner or replica changed since the last call from or to this node. */
  std::vector<ShardId> takeChangedShards();
  size_t liveMembers() const { return members_.size(); }
  size_t shardCount() const;

 private:
  struct LiveMember {
    NodeId id;
    ZoneId zone;
  };
  /** One named member with what is needed to compare it with a newcomer. */
  struct Named {
    uint64_t score = 0;
    LiveMember member;
    bool present = false;
  };
  struct Assignment {
    Named owner;
    Named replica;
  };
  using Assignments = std::vector<Assignment>;

  void addMember(const LiveMember& member);
  void removeMember(NodeId id);
  void insertInto(const ShardId& shard, Assignment& assignment, const LiveMember& member);
  void rerank(const ShardId& shard, Assignment& assignment);
  void recordChange(const ShardId& shard, const Assignment& before, const Assignment& after);
  static bool betterReplica(const Named& owner, const Named& candidate, const Named& current);

  NodeId self_;
  std::vector<LiveMember> members_;
  std::unordered_map<ServiceId, Assignments> services_;
  std::vector<ShardId> changed_;
};

}  // namespace umberhold
