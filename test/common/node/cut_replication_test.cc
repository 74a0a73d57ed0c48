/** @file What a cut of the network breaks of flows that are not where the base table says. */
#include <optional>
#include <vector>

#include "cluster_fuzzer.h"
#include "test/support/without_leak_detection.h"

namespace umberhold {
namespace {

/** Of the flows that live in a cut no more may break than one node's death may break: 1 of 1,000.
 */
constexpr uint64_t kFlowsOfOneLoss = 1000;
constexpr uint64_t kSeeds = 12;
constexpr uint32_t kServices = 3;
constexpr uint32_t kCutMilliseconds = 9000;

}  // namespace

TEST_GROUP_BASE(CutReplication, test::WithoutLeakDetection) {
  uint64_t broken = 0;
  uint64_t established = 0;

  /** A zone is cut off from both others. @param drainLead a host of each service drains so long
   * before; nothing where none does. */
  void cutAZone(std::optional<uint32_t> drainLead) {
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      std::vector<ClusterStep> steps = {{ClusterChange::kJoin, 0, 1000},
                                        {ClusterChange::kJoin, 0, 8000}};
      for (uint32_t service = 0; drainLead && service < kServices; ++service) {
        steps.push_back(
            {ClusterChange::kDrainHost, service, service + 1 == kServices ? *drainLead : 0});
      }
      steps.push_back({ClusterChange::kCutZones, 0, 0});
      steps.push_back({ClusterChange::kCutZones, 2, kCutMilliseconds});
      ClusterFuzzer fuzzer(seed);
      fuzzer.run(steps);
      broken += fuzzer.callers().oracle().broken();
      established += fuzzer.callers().oracle().established();
    }
    UT_PRINT(StringFromFormat("broken %llu of %llu", broken, established).asCharString());
  }
};

/** Guards against exceptions that only an owner beyond the cut knows. */
TEST(CutReplication, ACutBreaksLessThanADeathMay) {
  cutAZone(std::nullopt);
  CHECK_TRUE(established > 10000);
  CHECK_TRUE(broken * kFlowsOfOneLoss < established);
}

TEST(CutReplication, ACutRightAfterADrainBreaksLessThanADeathMay) {
  cutAZone(3000);
  CHECK_TRUE(established > 10000);
  CHECK_TRUE(broken * kFlowsOfOneLoss < established);
}

}  // namespace umberhold
