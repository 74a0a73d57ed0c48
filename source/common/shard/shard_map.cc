#include "common/shard/shard_map.h"

#include <algorithm>
#include <tuple>

#include "common/base/hash.h"

namespace umberhold {
namespace {

bool isEligible(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/** Orders by score, and equal scores (64 bits, hence very rare) by identifier. */
bool outranks(uint64_t leftScore, NodeId left, uint64_t rightScore, NodeId right) {
  return std::tie(leftScore, left) > std::tie(rightScore, right);
}

}  // namespace

uint64_t ShardMap::score(const ShardId& shard, NodeId member) {
  return mixHash(mixHash(shard.service.value, shard.index), member.value);
}

void ShardMap::setService(ServiceId service, uint16_t shardCount) {
  Assignments& assignments = services_[service];
  const auto before = static_cast<uint16_t>(assignments.size());
  for (uint16_t index = shardCount; index < before; ++index) {
    recordChange(ShardId{service, index}, assignments[index], Assignment{});
  }
  assignments.resize(shardCount);
  for (uint16_t index = before; index < shardCount; ++index) {
    rerank(ShardId{service, index}, assignments[index]);
  }
}

void ShardMap::removeService(ServiceId service) {
  if (services_.contains(service)) {
    setService(service, 0);
    services_.erase(service);
  }
}

void ShardMap::onMember(const Member& member) {
  const auto known = std::find_if(members_.begin(), members_.end(),
                                  [&](const LiveMember& live) { return live.id == member.id; });
  const bool wasEligible = known != members_.end();
  const bool eligible = isEligible(member.state);
  if (wasEligible && (!eligible || known->zone != member.zone)) {
    removeMember(member.id);
  } else if (wasEligible) {
    return;
  }
  if (eligible) {
    addMember(LiveMember{member.id, member.zone});
  }
}

void ShardMap::addMember(const LiveMember& member) {
  members_.push_back(member);
  for (auto& [service, assignments] : services_) {
    const auto shardCount = static_cast<uint16_t>(assignments.size());
    for (uint16_t index = 0; index < shardCount; ++index) {
      insertInto(ShardId{service, index}, assignments[index], member);
    }
  }
}

void ShardMap::removeMember(NodeId id) {
  std::erase_if(members_, [&](const LiveMember& live) { return live.id == id; });
  for (auto& [service, assignments] : services_) {
    const auto shardCount = static_cast<uint16_t>(assignments.size());
    for (uint16_t index = 0; index < shardCount; ++index) {
      Assignment& assignment = assignments[index];
      if (assignment.owner.member.id == id || assignment.replica.member.id == id) {
        rerank(ShardId{service, index}, assignment);
      }
    }
  }
}

bool ShardMap::betterReplica(const RankedMember& owner, const RankedMember& candidate,
                             const RankedMember& current) {
  if (!current.present) {
    return true;
  }
  const bool candidateInOtherZone = candidate.member.zone != owner.member.zone;
  const bool currentInOtherZone = current.member.zone != owner.member.zone;
  if (candidateInOtherZone != currentInOtherZone) {
    return candidateInOtherZone;
  }
  return outranks(candidate.score, candidate.member.id, current.score, current.member.id);
}

void ShardMap::insertInto(const ShardId& shard, Assignment& assignment, const LiveMember& member) {
  const Assignment before = assignment;
  const RankedMember joining{score(shard, member.id), member, true};
  const RankedMember previousOwner = assignment.owner;
  if (!previousOwner.present) {
    assignment.owner = joining;
  } else if (outranks(joining.score, member.id, previousOwner.score, previousOwner.member.id)) {
    assignment.owner = joining;
    // The previous owner outranks all other members, so only a replica in another zone can be
    // better.
    if (betterReplica(joining, previousOwner, assignment.replica)) {
      assignment.replica = previousOwner;
    }
  } else if (betterReplica(previousOwner, joining, assignment.replica)) {
    assignment.replica = joining;
  }
  recordChange(shard, before, assignment);
}

void ShardMap::rerank(const ShardId& shard, Assignment& assignment) {
  const Assignment before = assignment;
  assignment = Assignment{};
  for (const LiveMember& member : members_) {
    const RankedMember candidate{score(shard, member.id), member, true};
    const RankedMember& owner = assignment.owner;
    if (!owner.present || outranks(candidate.score, member.id, owner.score, owner.member.id)) {
      assignment.owner = candidate;
    }
  }
  for (const LiveMember& member : members_) {
    if (member.id == assignment.owner.member.id) {
      continue;
    }
    const RankedMember candidate{score(shard, member.id), member, true};
    if (betterReplica(assignment.owner, candidate, assignment.replica)) {
      assignment.replica = candidate;
    }
  }
  recordChange(shard, before, assignment);
}

void ShardMap::recordChange(const ShardId& shard, const Assignment& before,
                            const Assignment& after) {
  const auto isSelf = [this](const RankedMember& ranked) {
    return ranked.present && ranked.member.id == self_;
  };
  const auto differs = [](const RankedMember& left, const RankedMember& right) {
    return left.present != right.present || left.member.id != right.member.id;
  };
  const bool changed = differs(before.owner, after.owner) || differs(before.replica, after.replica);
  const bool concernsSelf = isSelf(before.owner) || isSelf(before.replica) || isSelf(after.owner) ||
                            isSelf(after.replica);
  if (changed && concernsSelf) {
    changed_.push_back(shard);
  }
}

std::optional<ShardAssignment> ShardMap::lookup(const ShardId& shard) const {
  const auto service = services_.find(shard.service);
  if (service == services_.end() || shard.index >= service->second.size()) {
    return std::nullopt;
  }
  const Assignment& assignment = service->second[shard.index];
  if (!assignment.owner.present) {
    return std::nullopt;
  }
  ShardAssignment result{assignment.owner.member.id, std::nullopt};
  if (assignment.replica.present) {
    result.replica = assignment.replica.member.id;
  }
  return result;
}

std::vector<NodeId> ShardMap::ranked(const ShardId& shard, size_t limit) const {
  std::vector<NodeId> members;
  members.reserve(members_.size());
  for (const LiveMember& member : members_) {
    members.push_back(member.id);
  }
  const size_t wanted = std::min(limit, members.size());
  std::partial_sort(members.begin(), members.begin() + static_cast<ptrdiff_t>(wanted),
                    members.end(), [&](NodeId left, NodeId right) {
                      return outranks(score(shard, left), left, score(shard, right), right);
                    });
  members.resize(wanted);
  return members;
}

std::vector<NodeId> ShardMap::highestRankedPerZone(const ShardId& shard) const {
  std::vector<LiveMember> best;
  for (const LiveMember& member : members_) {
    const auto sameZone = std::find_if(best.begin(), best.end(), [&](const LiveMember& other) {
      return other.zone == member.zone;
    });
    if (sameZone == best.end()) {
      best.push_back(member);
    } else if (outranks(score(shard, member.id), member.id, score(shard, sameZone->id),
                        sameZone->id)) {
      *sameZone = member;
    }
  }
  std::vector<NodeId> ids;
  ids.reserve(best.size());
  for (const LiveMember& member : best) {
    ids.push_back(member.id);
  }
  std::sort(ids.begin(), ids.end(), [&](NodeId left, NodeId right) {
    return outranks(score(shard, left), left, score(shard, right), right);
  });
  return ids;
}

std::vector<ShardId> ShardMap::takeChangedShards() {
  std::vector<ShardId> changed;
  changed.swap(changed_);
  std::sort(changed.begin(), changed.end());
  changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
  return changed;
}

size_t ShardMap::shardCount() const {
  size_t count = 0;
  for (const auto& [service, assignments] : services_) {
    count += assignments.size();
  }
  return count;
}

}  // namespace umberhold
