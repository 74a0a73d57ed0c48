/** @file Tests of the limit of requests under way for each to complete in time. */
#include "common/admission/room_limits.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;

TEST_GROUP(RoomLimits) {
  RoomLimits limits{0.5};
};

TEST(RoomLimits, RoomDependsOnTargetLatencyAndServiceTime) {
  DOUBLES_EQUAL(8.0, requestsPerSlot(limits, milliseconds(520), milliseconds(30)), 1e-9);
  // A tenth of the service time, and ten times the service time.
  DOUBLES_EQUAL(80.0, requestsPerSlot(limits, milliseconds(520), milliseconds(3)), 1e-9);
  DOUBLES_EQUAL(1.0, requestsPerSlot(limits, milliseconds(520), milliseconds(300)), 1e-9);
}

TEST(RoomLimits, IsUnknownWithoutTargetServiceTimeOrSetting) {
  DOUBLES_EQUAL(0.0, requestsPerSlot(limits, milliseconds(0), milliseconds(30)), 1e-9);
  DOUBLES_EQUAL(0.0, requestsPerSlot(limits, milliseconds(520), milliseconds(0)), 1e-9);
  DOUBLES_EQUAL(0.0, requestsPerSlot(RoomLimits{0.0}, milliseconds(520), milliseconds(30)), 1e-9);
}

TEST(RoomLimits, YieldingOpeningsGetTheRoomLeftByOpenFlowsButAtLeastOne) {
  LONGS_EQUAL(7, yieldingOpenings({{100.0, 0.1}, 2.5}));
  LONGS_EQUAL(1, yieldingOpenings({{100.0, 0.1}, 9.5}));
  LONGS_EQUAL(1, yieldingOpenings({{100.0, 0.1}, 500.0}));
}

TEST(RoomLimits, FifoWaitIsAQuarterOfTheRemainingTargetLatency) {
  CHECK_TRUE(fifoWaitOf(milliseconds(500), milliseconds(80)) == milliseconds(100));
  CHECK_TRUE(fifoWaitOf(milliseconds(500), milliseconds(480)) == milliseconds(0));
  CHECK_TRUE(fifoWaitOf(milliseconds(500), milliseconds(5000)) == milliseconds(0));
}
