/** @file What is known of a process that has just been started. */
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

constexpr size_t kDescriptorsOfParent = 300;
constexpr uint64_t kDescriptorsOfChild = 50;
constexpr int kStarts = 30;
constexpr std::chrono::milliseconds kMinSampling(50);
/** A loaded machine may take longer than kMinSampling until a process executes its program. */
constexpr std::chrono::seconds kExecuteTimeout(20);

}  // namespace

TEST_GROUP_BASE(ProcessGroup, umberhold::test::WithoutLeakDetection){};

TEST(ProcessGroup, AProcessThatIsStillACopyOfItsParentIsNotMeasured) {
  std::vector<int> open;
  for (size_t index = 0; index < kDescriptorsOfParent; ++index) {
    open.push_back(::open("/dev/null", O_RDONLY));
  }
  ProcessGroup group("/tmp");
  uint64_t most = 0;
  for (int start = 0; start < kStarts; ++start) {
    group.start("sleeper", "/bin/sleep", {"60"});
    std::optional<umberhold::experiment::ProcessUsage> usage;
    const auto startedAt = std::chrono::steady_clock::now();
    const auto elapsed = [startedAt] { return std::chrono::steady_clock::now() - startedAt; };
    while (elapsed() < kMinSampling || (!usage && elapsed() < kExecuteTimeout)) {
      usage = group.usage("sleeper");
      most = std::max(most, usage ? usage->descriptors : 0);
    }
    CHECK_TRUE(usage.has_value());
    group.kill("sleeper");
  }
  for (const int descriptor : open) {
    ::close(descriptor);
  }
  CHECK_TRUE(most > 0);
  CHECK_TRUE(most < kDescriptorsOfChild);
}
