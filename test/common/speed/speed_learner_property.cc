/**
 * @file Whatever one node of a zone reports, the estimated speed of a host stays within the range
 * measured by the other nodes.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "common/speed/speed_learner.h"
#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kToken = 7;
constexpr uint64_t kFaulty = 1;
/** 0.01 from rounding and 0.01 from the logarithm. */
constexpr double kRounding = 1.02;

}  // namespace

TEST_GROUP_BASE(SpeedLearnerProperty, test::WithoutLeakDetection){};

TEST(SpeedLearnerProperty, SingleFaultyNodeDoesNotShiftASpeed) {
  CHECK_TRUE(rc::check([] {
    TimePoint now{seconds(1000)};
    SpeedLearner learner;
    const auto nodes = *rc::gen::inRange<uint64_t>(2, 40);
    // The range includes the usual speed, which is assumed as a prior.
    double lowest = 100.0;
    double highest = 100.0;
    for (uint64_t node = kFaulty + 1; node <= kFaulty + nodes; ++node) {
      const auto percent = *rc::gen::inRange<uint32_t>(25, 401);
      lowest = std::min<double>(lowest, percent);
      highest = std::max<double>(highest, percent);
      learner.add(now, node, kToken, percent, *rc::gen::inRange<uint32_t>(1, 20));
      if (*rc::gen::arbitrary<bool>()) {
        learner.add(now, kFaulty, kToken, *rc::gen::inRange<uint32_t>(0, 100000),
                    *rc::gen::inRange<uint32_t>(0, 100000));
      }
      now += milliseconds(*rc::gen::inRange(0, 500));
    }
    for (const LearnedSpeed& speed : learner.speeds(now, 10)) {
      RC_ASSERT(speed.percentOfUsual <= std::ceil(kRounding * 10000.0 / lowest));
      RC_ASSERT(speed.percentOfUsual >= std::floor(10000.0 / highest / kRounding));
    }
  }));
}

TEST(SpeedLearnerProperty, MemoryIsBounded) {
  SpeedLearner learner;
  TimePoint now{seconds(1000)};
  for (uint32_t token = 1; token <= 2 * SpeedLearner::kMaxHosts; ++token) {
    for (uint64_t node = 1; node <= 3; ++node) {
      learner.add(now, node, token, 100, 6);
    }
  }
  CHECK_TRUE(learner.knownHosts() <= SpeedLearner::kMaxHosts);
}

}  // namespace umberhold
