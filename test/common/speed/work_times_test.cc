/** @file Estimation of the processing time as a part of the response time. */
#include "common/speed/work_times.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(WorkTimes) {
  TimePoint now{seconds(1000)};
  WorkTimes times;

  void open(milliseconds roundTrip, int count = 10) {
    for (int index = 0; index < count; ++index) {
      times.onOpened(now, roundTrip);
    }
  }
  void respond(milliseconds response, int count = 30) {
    for (int index = 0; index < count; ++index) {
      times.add(now, response);
    }
  }
};

TEST(WorkTimes, ExcludesNetworkDelay) {
  open(milliseconds(30));
  respond(milliseconds(70));
  DOUBLES_EQUAL(1.0, times.ratioOf(milliseconds(70)).value(), 0.01);
  DOUBLES_EQUAL(2.0, times.ratioOf(milliseconds(110)).value(), 0.01);
  DOUBLES_EQUAL(0.5, times.ratioOf(milliseconds(50)).value(), 0.01);
}

TEST(WorkTimes, ReturnsNothingBeforeNetworkAndWorkAreKnown) {
  respond(milliseconds(70));
  CHECK_FALSE(times.ratioOf(milliseconds(70)).has_value());
  open(milliseconds(30), 5);
  respond(milliseconds(70), 15);
  CHECK_FALSE(times.ratioOf(milliseconds(70)).has_value());
  DOUBLES_EQUAL(1.0, times.expectedRatio(0.5), 1e-9);
  respond(milliseconds(70), 1);
  CHECK_TRUE(times.ratioOf(milliseconds(70)).has_value());
}

TEST(WorkTimes, LimitsASingleRequestToFourTimesTheUsual) {
  open(milliseconds(10));
  respond(milliseconds(40));
  DOUBLES_EQUAL(kMaxWorkRatio, times.ratioOf(seconds(9)).value(), 1e-9);
  DOUBLES_EQUAL(kMinWorkRatio, times.ratioOf(milliseconds(2)).value(), 1e-9);
}

TEST(WorkTimes, ExpectsHighResponseTimesFromASlowHost) {
  open(milliseconds(10));
  respond(milliseconds(40));
  // 20 ms are added to every time: (30 + 30 / 0.5) / 60.
  DOUBLES_EQUAL(1.5, times.expectedRatio(0.5), 0.01);
  DOUBLES_EQUAL(1.0, times.expectedRatio(1.0), 0.01);
}
