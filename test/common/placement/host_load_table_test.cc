/** @file Tests of an owner's counts of its own and of other owners' flows. */
#include "common/placement/host_load_table.h"

#include <vector>

#include "common/placement/blended_load.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr HostId kFirst{1};
constexpr HostId kSecond{2};
constexpr TimePoint kStart{std::chrono::seconds(1000)};

LoadShare shareOf(uint16_t shard, uint32_t epoch, uint32_t first, uint32_t second) {
  return {ShardId{ServiceId{1}, shard},
          epoch,
          {{kFirst, first, 255, true}, {kSecond, second, 255, true}}};
}

TimePoint after(int seconds) {
  return kStart + std::chrono::seconds(seconds);
}

}  // namespace

TEST_GROUP(HostLoadTable) {
  HostLoadTable table;

  void setup() override {
    table.setHosts({kFirst, kSecond});
    table.addOwnShard(0, {});
  }
  void place(HostId host, int count) {
    for (int flow = 0; flow < count; ++flow) {
      table.flowAdded(0, host, false);
    }
  }
};

/** A removal of a flow that was not counted and flows of a shard that is not owned are ignored. */
TEST(HostLoadTable, CountsNeverGoBelowZero) {
  table.flowRemoved(0, kFirst);
  table.flowRemoved(5, kFirst);
  table.flowAdded(5, kFirst, false);
  DOUBLES_EQUAL(0.0, table.estimate(kStart)[0], 1e-9);
}

TEST(HostLoadTable, IgnoresSharesOfAnOlderEpoch) {
  table.onLoadShare(kStart, shareOf(1, 4, 30, 10));
  table.onLoadShare(after(1), shareOf(1, 3, 99, 99));
  DOUBLES_EQUAL(30.0, table.estimate(after(1))[0], 1e-9);
  CHECK(table.lastShare(1) == kStart);
}

TEST(HostLoadTable, IgnoresSharesOfAnOwnedShard) {
  table.onLoadShare(kStart, shareOf(0, 9, 50, 50));
  DOUBLES_EQUAL(0.0, table.estimate(kStart)[0], 1e-9);
}

TEST(HostLoadTable, CountsAdoptedFlowsOnce) {
  table.addOwnShard(1, {{kFirst, 3, {}, {}}});
  CHECK_EQUAL(3, table.shardFlows(1, 0));
  table.flowAdded(1, kFirst, true);
  CHECK_EQUAL(3, table.shardFlows(1, 0));
  table.flowAdded(1, kFirst, false);
  CHECK_EQUAL(4, table.shardFlows(1, 0));
  table.flowRemoved(1, kFirst);
  table.removeInherited(1);
  CHECK_EQUAL(1, table.shardFlows(1, 0));
  DOUBLES_EQUAL(1.0, table.estimate(kStart)[0], 1e-9);
}

TEST(HostLoadTable, StartsFromTheLastShareWithoutInheritedState) {
  table.onLoadShare(kStart, shareOf(1, 1, 7, 9));
  table.addOwnShard(1, {});
  CHECK_EQUAL(7, table.shardFlows(1, 0));
  CHECK_EQUAL(9, table.shardFlows(1, 1));
}

TEST(HostLoadTable, KeepsCountsOfAReleasedShardAsRemote) {
  place(kSecond, 5);
  table.removeOwnShard(kStart, 0);
  CHECK_EQUAL(0, table.shardFlows(0, 1));
  DOUBLES_EQUAL(5.0, table.estimate(kStart)[1], 1e-9);
}

TEST(HostLoadTable, ScalesRemoteCountsWithOwnGrowth) {
  place(kFirst, 50);
  place(kSecond, 50);
  table.onLoadShare(kStart, shareOf(1, 1, 100, 100));
  place(kFirst, 25);
  place(kSecond, 25);
  DOUBLES_EQUAL(75.0 + 150.0, table.estimate(after(5))[0], 1e-6);
}

TEST(HostLoadTable, RemoteCountsDecayInPlacementLoadAsFlowsAreReplaced) {
  table.estimate(kStart);
  place(kFirst, 200);
  table.onLoadShare(kStart, shareOf(1, 1, 100, 0));
  for (int second = 1; second <= 10; ++second) {
    for (int flow = 0; flow < 50; ++flow) {
      table.flowRemoved(0, kFirst);
    }
    place(kFirst, 50);
    table.estimate(after(second));
  }
  const double early = table.placementLoad(after(11))[0] - 200.0;
  const double late = table.placementLoad(after(40))[0] - 200.0;
  CHECK(early < 100.0);
  CHECK(late < early);
  CHECK(late >= 0.0);
}

TEST(HostLoadTable, KeepsCountsOfRemovedHostsWhileTheyHaveFlows) {
  place(kFirst, 2);
  table.setHosts({kSecond, HostId{3}});
  const size_t slot = table.findSlot(kFirst);
  CHECK_EQUAL(2, slot);
  CHECK_EQUAL(2, table.shardFlows(0, slot));
  table.flowRemoved(0, kFirst);
  table.flowRemoved(0, kFirst);
  table.setHosts({kSecond, HostId{3}});
  CHECK_EQUAL(2, table.size());
  CHECK_EQUAL(table.size(), table.findSlot(kFirst));
}

TEST_GROUP(BlendedLoad){
    static LoadInput reporting(uint32_t percent, double then, double flows, int age){
        return {LoadReport{percent, kStart - std::chrono::seconds(age), then}, flows, 1000};
}
}
;

TEST(BlendedLoad, HostThatAlwaysReportsZeroHasLoadFromItsFlows) {
  const auto loads = blendLoads(
      kStart, {reporting(0, 300, 300, 1), reporting(40, 300, 300, 1), reporting(40, 300, 300, 1)});
  CHECK(loads[0] >= 0.1);
  CHECK(loads[0] < loads[1]);
}

TEST(BlendedLoad, ScalesAReportWithFlowsPlacedSince) {
  const auto loads = blendLoads(kStart, {reporting(40, 100, 200, 1), reporting(40, 100, 100, 1)});
  DOUBLES_EQUAL(0.8, loads[0], 1e-9);
  DOUBLES_EQUAL(0.4, loads[1], 1e-9);
}

TEST(BlendedLoad, UsesFlowCountsInsteadOfAStaleReport) {
  const auto loads = blendLoads(kStart, {reporting(100, 100, 100, 60)});
  DOUBLES_EQUAL(0.1, loads[0], 1e-9);
}
