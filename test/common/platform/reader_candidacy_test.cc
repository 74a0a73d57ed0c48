/** @file Candidates are few per region, spread over zones, and the same on every node. */
#include "common/platform/reader_candidacy.h"

#include <map>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

/** A membership view with members 1 to n in three zones, as seen by one of them. */
class FixedView : public MembershipView {
 public:
  FixedView(uint32_t count, MemberState state) {
    for (uint32_t id = 1; id <= count; ++id) {
      Member member;
      member.id = NodeId{id};
      member.state = state;
      member.zone = ZoneId{id % 3};
      members[member.id] = member;
    }
  }
  NodeId self() const override { return selfId; }
  const Member* find(NodeId id) const override { return &members.at(id); }
  void forEach(const std::function<void(const Member&)>& visitor) const override {
    for (const auto& [id, member] : members) {
      visitor(member);
    }
  }
  uint64_t revision() const override { return 0; }

  std::map<NodeId, Member> members;
  NodeId selfId{1};
};

/** @return the candidates of each slot by rank, as computed by the nodes themselves. */
std::vector<std::map<uint8_t, NodeId>> allCandidates(FixedView& view) {
  std::vector<std::map<uint8_t, NodeId>> slots(kReaderSlots);
  for (const auto& [id, member] : view.members) {
    view.selfId = id;
    const ReaderRanks ranks = readerRanks(view);
    for (uint8_t slot = 0; slot < kReaderSlots; ++slot) {
      if (ranks[slot]) {
        CHECK_EQUAL(0U, slots[slot].count(*ranks[slot]));
        slots[slot][*ranks[slot]] = id;
      }
    }
  }
  return slots;
}

}  // namespace

TEST_GROUP(ReaderCandidacy){};

TEST(ReaderCandidacy, EachSlotHasThreeCandidatesInThreeZones) {
  FixedView view(60, MemberState::kAlive);
  for (const auto& candidates : allCandidates(view)) {
    CHECK_EQUAL(size_t{kCandidatesPerRegion}, candidates.size());
    std::set<ZoneId> zones;
    for (const auto& [rank, id] : candidates) {
      zones.insert(view.members[id].zone);
    }
    CHECK_EQUAL(3U, zones.size());
  }
}

TEST(ReaderCandidacy, LeavingAndDeadMembersAreReplaced) {
  FixedView view(60, MemberState::kAlive);
  const auto before = allCandidates(view);
  view.members[before[0].at(0)].state = MemberState::kLeaving;
  view.members[before[0].at(1)].state = MemberState::kDead;
  const auto after = allCandidates(view);
  CHECK_EQUAL(size_t{kCandidatesPerRegion}, after[0].size());
  for (const auto& [rank, id] : after[0]) {
    CHECK_TRUE(id != before[0].at(0));
    CHECK_TRUE(id != before[0].at(1));
  }
}

TEST(ReaderCandidacy, JoiningMembersCountOnlyWithoutRunningMembers) {
  FixedView starting(6, MemberState::kJoining);
  CHECK_EQUAL(3U, allCandidates(starting)[0].size());
  starting.members[NodeId{4}].state = MemberState::kAlive;
  const auto candidates = allCandidates(starting);
  CHECK_EQUAL(1U, candidates[0].size());
  CHECK_TRUE(candidates[0].at(0) == NodeId{4});
}
