/** @file Tests that ProcessGroup reports no usage of a process between fork and exec, when it is
 * still a copy of its parent. */
#include "bench/support/process_group.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <vector>

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

using umberhold::experiment::ProcessGroup;

namespace {

constexpr size_t kParentDescriptors = 300;
constexpr uint64_t kMaxChildDescriptors = 50;
constexpr int kStarts = 30;
constexpr std::chrono::milliseconds kMinSampling(50);
/** A loaded machine may take longer than kMinSampling until a process executes its program. */
constexpr std::chrono::seconds kExecuteTimeout(20);

}  // namespace

TEST_GROUP_BASE(ProcessGroup, umberhold::test::WithoutLeakDetection){};

TEST(ProcessGroup, UsageIsUnsetUntilProcessExecutesItsProgram) {
  std::vector<int> parentDescriptors;
  for (size_t index = 0; index < kParentDescriptors; ++index) {
    parentDescriptors.push_back(::open("/dev/null", O_RDONLY));
  }
  ProcessGroup group("/tmp");
  uint64_t maxDescriptors = 0;
  for (int start = 0; start < kStarts; ++start) {
    group.start("sleeper", "/bin/sleep", {"60"});
    std::optional<umberhold::experiment::ProcessUsage> usage;
    const auto startedAt = std::chrono::steady_clock::now();
    const auto elapsed = [startedAt] { return std::chrono::steady_clock::now() - startedAt; };
    while (elapsed() < kMinSampling || (!usage && elapsed() < kExecuteTimeout)) {
      usage = group.usage("sleeper");
      maxDescriptors = std::max(maxDescriptors, usage ? usage->descriptors : 0);
    }
    CHECK_TRUE(usage.has_value());
    group.kill("sleeper");
  }
  for (const int descriptor : parentDescriptors) {
    ::close(descriptor);
  }
  CHECK_TRUE(maxDescriptors > 0);
  CHECK_TRUE(maxDescriptors < kMaxChildDescriptors);
}
