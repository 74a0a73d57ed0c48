/** @file New flows that are held until the replica acknowledges them. */
#include "common/shard/unacknowledged_flows.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;

TEST_GROUP(UnacknowledgedFlows) {
  UnacknowledgedFlows flows;
  TimePoint now{std::chrono::seconds(100)};
};

TEST(UnacknowledgedFlows, AreReleasedOnceTheirRecordsAreAcknowledged) {
  flows.add(now, FlowHash{1}, 7, "one", PacketSource::kFabric);
  flows.add(now, FlowHash{2}, 8, "two", PacketSource::kFabric);
  CHECK_TRUE(flows.takeAcknowledged(7).empty());
  const auto taken = flows.takeAcknowledged(8);
  LONGS_EQUAL(1, taken.size());
  STRCMP_EQUAL("one", taken[0].bytes.c_str());
  CHECK_FALSE(flows.contains(FlowHash{1}));
  CHECK_TRUE(flows.contains(FlowHash{2}));
}

TEST(UnacknowledgedFlows, KeepLatestRepeatedPacket) {
  flows.add(now, FlowHash{1}, 7, "one", PacketSource::kFabric);
  flows.hold(FlowHash{1}, "again", PacketSource::kFabric);
  flows.hold(FlowHash{2}, "other", PacketSource::kFabric);
  const auto taken = flows.takeAll();
  LONGS_EQUAL(1, taken.size());
  STRCMP_EQUAL("again", taken[0].bytes.c_str());
  CHECK_TRUE(flows.isEmpty());
}

TEST(UnacknowledgedFlows, AreOverdueAfterTimeoutRegardlessOfRepeats) {
  flows.add(now, FlowHash{1}, 7, "one", PacketSource::kFabric);
  now += UnacknowledgedFlows::kAcknowledgementTimeout - milliseconds(1);
  flows.hold(FlowHash{1}, "again", PacketSource::kFabric);
  CHECK_TRUE(flows.takeOverdue(now).empty());
  now += milliseconds(1);
  const auto overdue = flows.takeOverdue(now);
  LONGS_EQUAL(1, overdue.size());
  CHECK_TRUE(overdue[0].flow == FlowHash{1});
  CHECK_TRUE(flows.isEmpty());
}

TEST(UnacknowledgedFlows, AreBounded) {
  for (uint64_t flow = 1; flow <= UnacknowledgedFlows::kMaxFlows; ++flow) {
    CHECK_FALSE(flows.isFull());
    flows.add(now, FlowHash{flow}, 1, "", PacketSource::kFabric);
  }
  CHECK_TRUE(flows.isFull());
}
