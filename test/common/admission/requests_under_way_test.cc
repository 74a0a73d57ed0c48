/** @file Tests of the average number of requests under way. */
#include "common/admission/requests_under_way.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(RequestsUnderWay) {
  RequestsUnderWay underWay;
  TimePoint now{seconds(1000)};

  void run(int count, milliseconds between, milliseconds took) {
    for (int index = 0; index < count; ++index) {
      now += between;
      underWay.onEnded(now, took);
    }
  }
};

TEST(RequestsUnderWay, IsRateTimesDuration) {
  run(200, milliseconds(50), milliseconds(30));
  DOUBLES_EQUAL(0.6, underWay.value(now), 0.05);
  run(1000, milliseconds(10), milliseconds(300));
  DOUBLES_EQUAL(30.0, underWay.value(now), 1.0);
}

TEST(RequestsUnderWay, DecaysWithinSeconds) {
  run(200, milliseconds(50), milliseconds(30));
  CHECK_TRUE(underWay.value(now + seconds(5)) < 0.01);
  DOUBLES_EQUAL(0.0, RequestsUnderWay{}.value(now), 1e-9);
}

}  // namespace umberhold
