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
    group.start("sleeper", "/bin/sleep", {"5"});
    std::optional<umberhold::experiment::ProcessUsage> usage;
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    while (std::chrono::steady_clock::now() < end) {
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
