/** @file Step sequences by which fuzzing broke a promise, shrunk. */
#include "cluster_fuzzer.h"

#include <CppUTest/TestHarness.h>

#include "test/support/without_leak_detection.h"

using namespace umberhold;

// Lua keeps lazily made statics.
TEST_GROUP_BASE(ClusterRegression, test::WithoutLeakDetection){};

// A shard moved from an owner that did not know all flows; the repeat of an opening that it had
// forwarded to the base's host went to another host, by the load bound.
TEST(ClusterRegression, OpeningRepeatedAfterAHandOverReachesTheSameHost) {
  ClusterFuzzer fuzzer(0);
  fuzzer.run({{ClusterChange::kNothing, 0, 0}});
  CHECK(fuzzer.callers().oracle().established() > 50);
  CHECK_EQUAL(0, fuzzer.callers().doubledOpenings());
  STRCMP_EQUAL("", fuzzer.plannedBroken().c_str());
}

// Two nodes that started at once took each other's list, which held only the two of them, for the
// region's; one of them built a shard again beside its owner.
TEST(ClusterRegression, TwoPlannedRestartsAtOnceBreakNoFlow) {
  ClusterFuzzer fuzzer(0);
  fuzzer.run({{ClusterChange::kJoin, 0, 401},
              {ClusterChange::kPlannedRestart, 2, 101},
              {ClusterChange::kPlannedRestart, 6, 0}});
  CHECK(fuzzer.callers().oracle().established() > 50);
  STRCMP_EQUAL("", fuzzer.plannedBroken().c_str());
}
