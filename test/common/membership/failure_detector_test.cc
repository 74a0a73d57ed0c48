/** @file Tests of joining, failure detection, leaving and recovery from partitions. */
#include <set>

#include "test/common/membership/region.h"

// After the library headers: it replaces operator new with a macro.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

using namespace umberhold;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr uint32_t kNodes = 12;

/** Records every state that one member has had in one view. */
struct StateRecorder : MembershipObserver {
  explicit StateRecorder(uint32_t watchedId) : watched{watchedId} {}
  void onMemberChanged(const Member& member) override {
    if (member.id == watched) {
      seen.insert(member.state);
    }
  }
  NodeId watched;
  std::set<MemberState> seen;
};

}  // namespace

TEST_GROUP(FailureDetector) {
  Region region{7};
};

TEST(FailureDetector, AllNodesDiscoverEachOther) {
  region.startAll(kNodes);
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, FetchesMemberListInPages) {
  constexpr uint32_t kMany = 100;
  region.startAll(kMany);
  FailureDetector& late = region.start(kMany + 1);
  region.run(seconds(1));
  CHECK_TRUE(late.joined());
  size_t known = 0;
  late.forEach([&](const Member&) { ++known; });
  CHECK_EQUAL(kMany + 1, known);
}

TEST(FailureDetector, CrashedNodeIsDeadInAllViewsWithinTenSeconds) {
  region.startAll(kNodes);
  region.crash(5);
  region.run(seconds(10));
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, DetectsCrashInRegionOfTwoNodes) {
  region.startAll(2);
  region.crash(2);
  region.run(seconds(6));
  CHECK_TRUE(region.allSee(2, MemberState::kDead));
}

TEST(FailureDetector, RestartAtSameAddressReplacesOldProcess) {
  region.startAll(kNodes);
  region.crash(5);
  region.run(seconds(10));
  region.start(5, 2).announceReady(region.network.now());
  region.run(seconds(3));
  CHECK_TRUE(region.viewsAreCorrect());
  CHECK_EQUAL(2, region.nodes.at(3).detector->find(NodeId{5})->incarnation);
}

TEST(FailureDetector, RestartWithLowerIncarnationRaisesItAboveThePreviousOne) {
  region.startAll(kNodes);
  region.crash(5);
  region.run(seconds(10));
  region.start(5, 0).announceReady(region.network.now());
  region.run(seconds(5));
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, ResumedNodeRejoinsAndDeclaresNoMemberDead) {
  region.startAll(kNodes);
  StateRecorder recorder(8);
  region.nodes.at(3).detector->addObserver(&recorder);
  region.pause(5, true);
  region.run(seconds(10));
  CHECK_TRUE(region.stateIn(3, 5) == MemberState::kDead);
  region.pause(5, false);
  region.run(seconds(5));
  CHECK_TRUE(region.viewsAreCorrect());
  CHECK_EQUAL(1, region.nodes.at(5).detector->pauses());
  CHECK_EQUAL(0, recorder.seen.count(MemberState::kDead));
}

TEST(FailureDetector, ShortPauseCausesNoDeath) {
  region.startAll(kNodes);
  StateRecorder recorder(5);
  region.nodes.at(3).detector->addObserver(&recorder);
  region.pause(5, true);
  region.run(seconds(2));
  region.pause(5, false);
  region.run(seconds(5));
  CHECK_TRUE(region.viewsAreCorrect());
  CHECK_EQUAL(0, recorder.seen.count(MemberState::kDead));
}

TEST(FailureDetector, FalseDeathIsRefuted) {
  region.startAll(kNodes);
  MemberGossip falseClaim;
  falseClaim.updates.push_back({NodeId{5}, 1, MemberState::kDead});
  region.nodes.at(3).detector->handle(
      region.network.now(), Region::memberOf(4, 1).controlEndpoint(), NodeId{4}, falseClaim);
  CHECK_TRUE(region.stateIn(3, 5) == MemberState::kDead);
  region.run(seconds(5));
  CHECK_TRUE(region.viewsAreCorrect());
  CHECK_TRUE(region.nodes.at(3).detector->find(NodeId{5})->incarnation > 1);
}

TEST(FailureDetector, VerifiesDeathReportedByDeadSender) {
  region.startAll(kNodes);
  region.crash(5);
  region.run(seconds(10));
  MemberGossip claim;
  claim.updates.push_back({NodeId{6}, 1, MemberState::kDead});
  region.nodes.at(3).detector->handle(region.network.now(),
                                      Region::memberOf(5, 1).controlEndpoint(), NodeId{5}, claim);
  CHECK_TRUE(region.stateIn(3, 6) == MemberState::kAlive);
  region.run(seconds(5));
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, StaleGossipDoesNotReviveDeadMember) {
  region.startAll(kNodes);
  region.crash(5);
  region.run(seconds(10));
  MemberGossip old;
  old.updates.push_back({NodeId{5}, 1, MemberState::kAlive});
  old.joined.push_back(Region::memberOf(5, 1));
  region.nodes.at(3).detector->handle(region.network.now(),
                                      Region::memberOf(4, 1).controlEndpoint(), NodeId{4}, old);
  old.updates.front().incarnation = 0;
  old.joined.front().incarnation = 0;
  region.nodes.at(3).detector->handle(region.network.now(),
                                      Region::memberOf(4, 1).controlEndpoint(), NodeId{4}, old);
  CHECK_TRUE(region.stateIn(3, 5) == MemberState::kDead);
}

TEST(FailureDetector, PlannedLeaveIsDisseminatedWithoutSuspicion) {
  region.startAll(kNodes);
  StateRecorder recorder(5);
  region.nodes.at(3).detector->addObserver(&recorder);
  region.nodes.at(5).detector->announceLeaving(region.network.now());
  region.run(seconds(2));
  CHECK_TRUE(region.allSee(5, MemberState::kLeaving));
  region.nodes.at(5).detector->announceLeft(region.network.now());
  region.crash(5);
  region.run(seconds(2));
  CHECK_TRUE(region.allSee(5, MemberState::kDead));
  CHECK_EQUAL(0, recorder.seen.count(MemberState::kSuspect));
}

TEST(FailureDetector, IsolatedNodeDeclaresNoMemberDead) {
  constexpr uint32_t kMany = 40;
  region.startAll(kMany);
  region.network.faults.isCut = [](NodeId from, NodeId to) {
    return from == NodeId{5} || to == NodeId{5};
  };
  region.run(seconds(15));
  uint32_t dead = 0;
  for (uint32_t id = 1; id <= kMany; ++id) {
    dead += region.stateIn(5, id) == MemberState::kDead ? 1 : 0;
  }
  CHECK_EQUAL(0, dead);
  CHECK_TRUE(region.stateIn(3, 5) == MemberState::kDead);
}

TEST(FailureDetector, ViewsConvergeAfterPartitionHeals) {
  region.startAll(kNodes);
  region.network.faults.isCut = [](NodeId from, NodeId to) {
    return (from.value % Region::kZones == 0) != (to.value % Region::kZones == 0);
  };
  region.run(seconds(40));
  CHECK_TRUE(region.stateIn(3, 4) == MemberState::kDead);
  CHECK_TRUE(region.stateIn(4, 3) == MemberState::kDead);
  CHECK_TRUE(region.stateIn(4, 5) == MemberState::kAlive);
  region.network.faults.isCut = nullptr;
  region.run(seconds(60));
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, ViewsConvergeAfterPartitionHealsWithoutSeed) {
  region.startAll(kNodes);
  region.crash(1);
  region.network.faults.isCut = [](NodeId from, NodeId to) {
    return (from.value % Region::kZones == 0) != (to.value % Region::kZones == 0);
  };
  region.run(seconds(40));
  CHECK_TRUE(region.stateIn(4, 3) == MemberState::kDead);
  region.network.faults.isCut = nullptr;
  region.run(seconds(60));
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, ViewsConvergeThroughSeedAfterDeadMembersWereRemoved) {
  region.startAll(kNodes);
  region.network.faults.isCut = [](NodeId from, NodeId to) {
    return (from.value % Region::kZones == 0) != (to.value % Region::kZones == 0);
  };
  region.run(minutes(65));
  CHECK_TRUE(region.nodes.at(4).detector->find(NodeId{3}) == nullptr);
  region.network.faults.isCut = nullptr;
  region.run(minutes(2));
  CHECK_TRUE(region.viewsAreCorrect());
}

TEST(FailureDetector, PacketLossCausesNoDeaths) {
  region.startAll(kNodes);
  StateRecorder recorder(5);
  region.nodes.at(3).detector->addObserver(&recorder);
  region.network.faults.loss = 0.2;
  region.run(minutes(10));
  CHECK_EQUAL(0, recorder.seen.count(MemberState::kDead));
}
