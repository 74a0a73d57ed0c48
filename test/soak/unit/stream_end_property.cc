/** @file Property: with loss, duplication and reordering, all bytes arrive in order. */
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "common/base/random.h"
#include "test/soak/world/stream_end.h"
#include "test/support/without_leak_detection.h"

namespace umberhold::soak {
namespace {

using std::chrono::milliseconds;

constexpr StreamAddresses kForth{1, 2, 3, 4};
constexpr StreamAddresses kBack{2, 1, 4, 3};

}  // namespace

TEST_GROUP_BASE(StreamEnd, test::WithoutLeakDetection){};

TEST(StreamEnd, DeliversAllBytesInOrder) {
  CHECK_TRUE(rc::check([](uint64_t seed) {
    RandomSource random(seed);
    const auto first = static_cast<uint32_t>(random.below(UINT32_MAX));
    StreamEnd sender(kForth, first, 1);
    StreamEnd receiver(kBack, 1, first);
    const std::string sent(random.below(60000), 'x');
    sender.write(sent);
    sender.finish();
    std::string received;
    std::vector<std::string> packets;
    TimePoint now{std::chrono::seconds(1)};
    for (int step = 0; step < 20000 && !(sender.isDrained() && receiver.isFinishedByOther());
         ++step) {
      now += milliseconds(20);
      sender.tick(now, packets);
      std::vector<std::string> arriving;
      arriving.swap(packets);
      std::vector<std::string> answers;
      for (size_t index = 0; index < arriving.size(); ++index) {
        std::swap(arriving[index], arriving[random.below(arriving.size())]);
      }
      for (const std::string& packet : arriving) {
        const uint64_t copies = random.below(10) == 0 ? 0 : 1 + random.below(5) / 4;
        for (uint64_t copy = 0; copy < copies; ++copy) {
          received += receiver.onPacket(now, *decode(packet), answers);
        }
      }
      for (const std::string& packet : answers) {
        if (random.below(10) > 0) {
          sender.onPacket(now, *decode(packet), packets);
        }
      }
    }
    RC_ASSERT(received == sent);
    RC_ASSERT(receiver.isFinishedByOther());
    RC_ASSERT(sender.isDrained());
  }));
}

}  // namespace umberhold::soak
