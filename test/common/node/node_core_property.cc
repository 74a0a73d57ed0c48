/** @file Stateful fuzzing of node cores against an oracle of flows and configuration. */
#include <rapidcheck.h>

#include <vector>

#include "cluster_fuzzer.h"

#include <CppUTest/TestHarness.h>

#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

constexpr size_t kMaxSteps = 10;
constexpr uint32_t kMaxStepMilliseconds = 4000;
/** Maximum share of established flows that deaths and partitions may break, out of kBrokenOutOf. */
constexpr uint64_t kBrokenFlows = 1;
constexpr uint64_t kBrokenOutOf = 100;

rc::Gen<std::vector<ClusterStep>> stepsUpTo(int changes) {
  const auto step = rc::gen::build<ClusterStep>(
      rc::gen::set(&ClusterStep::change,
                   rc::gen::map(rc::gen::inRange(0, changes),
                                [](int number) { return static_cast<ClusterChange>(number); })),
      rc::gen::set(&ClusterStep::target, rc::gen::inRange<uint32_t>(0, 100)),
      rc::gen::set(&ClusterStep::milliseconds,
                   rc::gen::inRange<uint32_t>(0, kMaxStepMilliseconds)));
  return rc::gen::mapcat(rc::gen::inRange<size_t>(1, kMaxSteps), [step](size_t count) {
    return rc::gen::container<std::vector<ClusterStep>>(count, step);
  });
}

rc::Gen<uint64_t> seeds() {
  return rc::gen::inRange<uint64_t>(0, 1000000);
}

void failIfNotEmpty(const std::string& broken) {
  if (!broken.empty()) {
    RC_FAIL(broken);
  }
}

}  // namespace

// rapidcheck and Lua keep lazily initialised statics.
TEST_GROUP_BASE(ClusterFuzzing, test::WithoutLeakDetection){};

TEST(ClusterFuzzing, PlannedChangesBreakNothing) {
  CHECK(rc::check("planned changes", [] {
    const auto steps = *stepsUpTo(kPlannedChanges);
    ClusterFuzzer fuzzer(*seeds());
    fuzzer.run(steps);
    RC_ASSERT(fuzzer.callers().oracle().established() > 50U);
    failIfNotEmpty(fuzzer.plannedChangeViolations());
  }));
}

TEST(ClusterFuzzing, PausesAndPartitionsSendNoOpeningToTwoHosts) {
  CHECK(rc::check("pauses and partitions", [] {
    const auto steps = *stepsUpTo(kChangesWithoutDeath);
    ClusterFuzzer fuzzer(*seeds());
    fuzzer.run(steps);
    RC_ASSERT(fuzzer.callers().flowsOpenedOnTwoHosts() == 0U);
    failIfNotEmpty(fuzzer.unconditionalViolations());
  }));
}

TEST(ClusterFuzzing, DeathsBreakFewFlowsAndCauseNoWrongRefusal) {
  CHECK(rc::check("deaths", [] {
    const auto steps = *stepsUpTo(kAllChanges);
    ClusterFuzzer fuzzer(*seeds());
    fuzzer.run(steps);
    failIfNotEmpty(fuzzer.unconditionalViolations());
    const FlowOracle& oracle = fuzzer.callers().oracle();
    RC_ASSERT(oracle.broken() * kBrokenOutOf <= oracle.established() * kBrokenFlows);
  }));
}
