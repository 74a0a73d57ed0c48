/** @file Minimised step sequences of faults found by fuzzing. */
#include "cluster_fuzzer.h"

#include <CppUTest/TestHarness.h>

#include "test/support/without_leak_detection.h"

using namespace umberhold;

// Lua keeps lazily initialised statics.
TEST_GROUP_BASE(ClusterRegression, test::WithoutLeakDetection){};

// A shard was handed over by an owner that did not have a complete flow list; a repeated opening
// that this owner had forwarded to the base table's host was sent to another host because of the
// load bound.
TEST(ClusterRegression, OpeningRepeatedAfterHandoverReachesSameHost) {
  ClusterFuzzer fuzzer(0);
  fuzzer.run({{ClusterChange::kNothing, 0, 0}});
  CHECK(fuzzer.callers().oracle().established() > 50);
  CHECK_EQUAL(0, fuzzer.callers().flowsOpenedOnTwoHosts());
  STRCMP_EQUAL("", fuzzer.plannedChangeViolations().c_str());
}

// Two nodes that started at the same time took each other's member list, which contained only the
// two of them, for that of the region; one of them created a shard that already had an owner.
TEST(ClusterRegression, TwoPlannedRestartsAtOnceBreakNoFlow) {
  ClusterFuzzer fuzzer(0);
  fuzzer.run({{ClusterChange::kJoin, 0, 401},
              {ClusterChange::kPlannedRestart, 2, 101},
              {ClusterChange::kPlannedRestart, 6, 0}});
  CHECK(fuzzer.callers().oracle().established() > 50);
  STRCMP_EQUAL("", fuzzer.plannedChangeViolations().c_str());
}
