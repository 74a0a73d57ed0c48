/** @file Estimation of host speeds from the measurements of all nodes of a zone. */
#include "common/speed/speed_learner.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "common/base/hash.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMany = 100;
constexpr uint32_t kNodes = 20;
constexpr uint32_t kHosts = 12;

}  // namespace

TEST_GROUP(SpeedLearner) {
  TimePoint now{seconds(1000)};
  SpeedLearner learner;
  std::mt19937 engine{5};

  /**
   * @return the processing time of a request at a host of this speed: log-normal with a spread of
   * 0.5, and 3 of 100 requests take seven times as long.
   */
  double workPercent(double speed) {
    std::lognormal_distribution<double> usual(0.0, 0.5);
    const bool isLong = std::uniform_real_distribution<double>(0.0, 1.0)(engine) < 0.03;
    return std::clamp(100.0 * usual(engine) * (isLong ? 7.0 : 1.0) / speed, 25.0, 400.0);
  }
  static uint32_t tokenOf(uint32_t host) {
    return static_cast<uint32_t>(mixHash(host, 0));
  }
  /** Two of three hosts are slow, the third one is fast. */
  static double speedOf(uint32_t host) {
    return host % 3 == 2 ? 1.7 : 0.7;
  }
  /**
   * Each node samples each host about once in two seconds.
   * @param speed returns the speed of a host.
   */
  template <class Speed>
  void simulate(Duration time, const Speed& speed) {
    const TimePoint end = now + time;
    while (now < end) {
      now += milliseconds(100);
      for (uint32_t node = 1; node <= kNodes; ++node) {
        for (uint32_t host = 0; host < kHosts; ++host) {
          if (engine() % 20 == 0) {
            learner.add(now, node, tokenOf(host), workPercent(speed(host)), 1);
          }
        }
      }
    }
  }
  LearnedSpeed learned(uint32_t host) {
    for (const LearnedSpeed& speed : learner.speeds(now, kMany)) {
      if (speed.token == tokenOf(host)) {
        return speed;
      }
    }
    return {};
  }
};

TEST(SpeedLearner, EstimatesSpeedsFromSparseSamplesOfManyNodes) {
  simulate(seconds(6), speedOf);
  for (uint32_t host = 0; host < kHosts; ++host) {
    const LearnedSpeed speed = learned(host);
    CHECK_TRUE(speed.samples >= 20);
    DOUBLES_EQUAL(speedOf(host), speed.percentOfUsual / 100.0, 0.25 * speedOf(host));
  }
}

TEST(SpeedLearner, ReturnsNothingForTooFewRequestsOrNodes) {
  for (uint32_t node = 1; node <= 5; ++node) {
    learner.add(now, node, 7, 200, 1);
  }
  CHECK_TRUE(learner.speeds(now, kMany).empty());
  for (int count = 0; count < 100; ++count) {
    learner.add(now, 1, 8, 400, 6);
    learner.add(now, 2, 8, 400, 6);
  }
  CHECK_TRUE(learner.speeds(now, kMany).empty());
}

TEST(SpeedLearner, FollowsSlowdownAndRecoveryWithinSeconds) {
  simulate(seconds(10), [](uint32_t) { return 1.0; });
  const auto slow = [](uint32_t host) { return host == 3 ? 0.25 : 1.0; };
  simulate(seconds(4), slow);
  CHECK_TRUE(learned(3).percentOfUsual < 80);
  simulate(seconds(6), slow);
  CHECK_TRUE(learned(3).percentOfUsual < 55);
  simulate(seconds(12), [](uint32_t) { return 1.0; });
  CHECK_TRUE(learned(3).percentOfUsual > 75);
}

TEST(SpeedLearner, DropsHostsThatAreNoLongerReported) {
  simulate(seconds(6), speedOf);
  LONGS_EQUAL(kHosts, learner.speeds(now, kMany).size());
  now += seconds(60);
  CHECK_TRUE(learner.speeds(now, kMany).empty());
}

TEST(SpeedLearner, ReturnsABoundedNumberAndAllOfThemInTurn) {
  simulate(seconds(6), speedOf);
  std::vector<uint32_t> received;
  for (int answer = 0; answer < 40; ++answer) {
    const auto speeds = learner.speeds(now, 4);
    LONGS_EQUAL(4, speeds.size());
    for (const LearnedSpeed& speed : speeds) {
      received.push_back(speed.token);
    }
  }
  std::sort(received.begin(), received.end());
  LONGS_EQUAL(kHosts, std::unique(received.begin(), received.end()) - received.begin());
}

TEST(SpeedLearner, SlowNodeHardlyShiftsSpeeds) {
  simulate(seconds(6), speedOf);
  const uint32_t before = learned(0).percentOfUsual;
  for (uint32_t host = 0; host < kHosts; ++host) {
    for (int count = 0; count < 20; ++count) {
      learner.add(now, 1, tokenOf(host), 400, 6);
    }
  }
  DOUBLES_EQUAL(before, learned(0).percentOfUsual, 0.1 * before);
}

}  // namespace umberhold
