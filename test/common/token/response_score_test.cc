/** @file Running statistics of response times. */
#include "common/token/response_score.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSampleWeight = 0.25;

}  // namespace

TEST_GROUP(ResponseScore) {
  TimePoint now{seconds(1000)};
  ResponseScore score{kSampleWeight};
  UsualResponseTime usual;

  void update(int count, Duration response) {
    for (int index = 0; index < count; ++index) {
      now += milliseconds(20);
      usual.add(now, response);
    }
  }
};

TEST(ResponseScore, SingleSampleStaysBelowTheSlowLimit) {
  score.add(now, 1000.0);
  DOUBLES_EQUAL(2.0, score.value(now), 1e-9);
  score.add(now, 1000.0);
  CHECK_TRUE(score.value(now) > 2.2);
}

TEST(ResponseScore, MaximumScoreDecaysBelowTheSlowLimitWithinFiveSeconds) {
  for (int index = 0; index < 20; ++index) {
    score.add(now, 5.0);
  }
  CHECK_TRUE(score.value(now) > 4.9);
  CHECK_TRUE(score.value(now + seconds(4)) > 2.2);
  CHECK_TRUE(score.value(now + seconds(5)) < 2.2);
}

TEST(ResponseScore, GoodSamplesSpeedUpRecovery) {
  for (int index = 0; index < 20; ++index) {
    score.add(now, 5.0);
  }
  for (int index = 0; index < 5; ++index) {
    now += milliseconds(200);
    score.add(now, 1.0);
  }
  CHECK_TRUE(score.value(now) < 2.2);
}

TEST(ResponseScore, ToleratesTimesThatGoBack) {
  score.add(now, 5.0);
  DOUBLES_EQUAL(2.0, score.value(now - seconds(5)), 1e-9);
}

TEST(ResponseScore, UsualTimeIsHardlyMovedByAFifthOfSlowHosts) {
  for (int index = 0; index < 200; ++index) {
    update(1, index % 5 == 0 ? milliseconds(400) : milliseconds(50));
  }
  DOUBLES_EQUAL(1.0, usual.ratioOf(milliseconds(50)).value(), 0.15);
}

TEST(ResponseScore, UsualTimeIsHardlyMovedByAShortBurst) {
  update(100, milliseconds(50));
  update(200, milliseconds(150));  // 4 s
  CHECK_TRUE(usual.ratioOf(milliseconds(150)).value() > 1.8);
  update(2000, milliseconds(150));  // 40 s
  DOUBLES_EQUAL(1.0, usual.ratioOf(milliseconds(150)).value(), 0.1);
}

TEST(ResponseScore, ReturnsNothingBeforeEnoughSamples) {
  update(4, milliseconds(50));
  CHECK_FALSE(usual.ratioOf(milliseconds(500)).has_value());
  CHECK_FALSE(usual.timeOf(5.0).has_value());
  update(1, milliseconds(50));
  CHECK_TRUE(usual.ratioOf(milliseconds(500)).has_value());
  CHECK_TRUE(usual.timeOf(5.0).value() > milliseconds(250));
}

}  // namespace umberhold
