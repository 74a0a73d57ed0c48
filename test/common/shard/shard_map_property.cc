/** @file The incremental shard map compared with a complete ranking. */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "common/shard/shard_map.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

const ServiceId kService{77};
constexpr uint16_t kShards = 16;

Member memberOf(uint32_t id, uint32_t zone, MemberState state) {
  Member member;
  member.id = NodeId{id};
  member.zone = ZoneId{zone};
  member.state = state;
  return member;
}

bool live(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

/** Ranks all members again, directly by the definition in docs/DESIGN.md. */
std::optional<ShardAssignment> rankFromScratch(const ShardId& shard,
                                               const std::map<uint32_t, Member>& members) {
  std::vector<Member> ranked;
  for (const auto& [id, member] : members) {
    if (live(member)) {
      ranked.push_back(member);
    }
  }
  if (ranked.empty()) {
    return std::nullopt;
  }
  std::sort(ranked.begin(), ranked.end(), [&](const Member& left, const Member& right) {
    return ShardMap::score(shard, left.id) > ShardMap::score(shard, right.id);
  });
  ShardAssignment assignment{ranked[0].id, std::nullopt};
  for (size_t rank = 1; rank < ranked.size() && !assignment.replica; ++rank) {
    if (ranked[rank].zone != ranked[0].zone) {
      assignment.replica = ranked[rank].id;
    }
  }
  if (!assignment.replica && ranked.size() > 1) {
    assignment.replica = ranked[1].id;
  }
  return assignment;
}

}  // namespace

TEST_GROUP(ShardMap){};

TEST(ShardMap, IncrementalChangesEqualCompleteRanking) {
  // rapidcheck keeps lazily initialised statics.
  IGNORE_ALL_LEAKS_IN_TEST();
  const bool passed = rc::check("incremental changes equal complete ranking", [] {
    ShardMap map(NodeId{1});
    map.setService(kService, kShards);
    std::map<uint32_t, Member> members;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const auto id = *rc::gen::inRange<uint32_t>(1, 9);
      const auto zone = *rc::gen::inRange<uint32_t>(1, 4);
      const auto state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
      members[id] = memberOf(id, zone, state);
      map.onMember(members[id]);
      for (uint16_t index = 0; index < kShards; ++index) {
        const ShardId shard{kService, index};
        RC_ASSERT(map.lookup(shard) == rankFromScratch(shard, members));
      }
    }
  });
  CHECK(passed);
}

TEST(ShardMap, ReportsEveryChangeOfOwnAssignments) {
  // rapidcheck keeps lazily initialised statics.
  IGNORE_ALL_LEAKS_IN_TEST();
  const bool passed = rc::check("takeChangedShards is complete", [] {
    const NodeId self{1};
    ShardMap map(self);
    map.setService(kService, kShards);
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      std::vector<std::optional<ShardAssignment>> before;
      for (uint16_t index = 0; index < kShards; ++index) {
        before.push_back(map.lookup(ShardId{kService, index}));
      }
      const auto id = *rc::gen::inRange<uint32_t>(1, 6);
      map.onMember(memberOf(id, id % 3, static_cast<MemberState>(*rc::gen::inRange(0, 5))));
      const auto changed = map.takeChangedShards();
      for (uint16_t index = 0; index < kShards; ++index) {
        const ShardId shard{kService, index};
        const auto after = map.lookup(shard);
        const auto assignsSelf = [&](const std::optional<ShardAssignment>& assignment) {
          return assignment && (assignment->owner == self || assignment->replica == self);
        };
        const bool reported = std::count(changed.begin(), changed.end(), shard) == 1;
        RC_ASSERT(reported ==
                  (before[index] != after && (assignsSelf(before[index]) || assignsSelf(after))));
      }
    }
  });
  CHECK(passed);
}

TEST(ShardMap, LossMovesOnlyShardsOfLostMember) {
  ShardMap map(NodeId{1});
  map.setService(kService, kShards);
  for (uint32_t id = 1; id <= 6; ++id) {
    map.onMember(memberOf(id, id % 3, MemberState::kAlive));
  }
  std::vector<ShardAssignment> before;
  for (uint16_t index = 0; index < kShards; ++index) {
    before.push_back(*map.lookup(ShardId{kService, index}));
  }
  map.onMember(memberOf(4, 1, MemberState::kDead));
  size_t moved = 0;
  for (uint16_t index = 0; index < kShards; ++index) {
    const bool lost = before[index].owner == NodeId{4};
    CHECK_EQUAL(!lost, map.lookup(ShardId{kService, index})->owner == before[index].owner);
    moved += lost ? 1 : 0;
  }
  CHECK(moved > 0);
}
