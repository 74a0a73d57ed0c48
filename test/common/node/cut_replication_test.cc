/** @file Loss of flows that are exceptions to the base table in a network partition. */
#include <optional>
#include <vector>

#include "cluster_fuzzer.h"
#include "test/support/without_leak_detection.h"

namespace umberhold {
namespace {

/** A partition may break no more of the live flows than the death of one node: 1 of 1,000. */
constexpr uint64_t kFlowsPerAllowedLoss = 1000;
constexpr uint64_t kSeeds = 12;
constexpr uint32_t kServices = 3;
constexpr uint32_t kPartitionMilliseconds = 9000;

}  // namespace

TEST_GROUP_BASE(CutReplication, test::WithoutLeakDetection) {
  uint64_t broken = 0;
  uint64_t established = 0;

  /**
   * Partitions one zone from both others. @param drainLead time in milliseconds before the
   * partition at which one host of each service starts to drain; nothing for no drain.
   */
  void partitionOneZone(std::optional<uint32_t> drainLead) {
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      std::vector<ClusterStep> steps = {{ClusterChange::kJoin, 0, 1000},
                                        {ClusterChange::kJoin, 0, 8000}};
      for (uint32_t service = 0; drainLead && service < kServices; ++service) {
        steps.push_back(
            {ClusterChange::kDrainHost, service, service + 1 == kServices ? *drainLead : 0});
      }
      steps.push_back({ClusterChange::kCutZones, 0, 0});
      steps.push_back({ClusterChange::kCutZones, 2, kPartitionMilliseconds});
      ClusterFuzzer fuzzer(seed);
      fuzzer.run(steps);
      broken += fuzzer.callers().oracle().broken();
      established += fuzzer.callers().oracle().established();
    }
    UT_PRINT(StringFromFormat("broken %llu of %llu", broken, established).asCharString());
  }
};

/** Guards against exceptions that are known only to an owner beyond the partition. */
TEST(CutReplication, ACutBreaksLessThanADeathMay) {
  partitionOneZone(std::nullopt);
  CHECK_TRUE(established > 10000);
  CHECK_TRUE(broken * kFlowsPerAllowedLoss < established);
}

TEST(CutReplication, ACutRightAfterADrainBreaksLessThanADeathMay) {
  partitionOneZone(3000);
  CHECK_TRUE(established > 10000);
  CHECK_TRUE(broken * kFlowsPerAllowedLoss < established);
}

}  // namespace umberhold
