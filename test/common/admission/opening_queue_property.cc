/** @file Property of the opening queue: every queued opening is released exactly once and in time.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "common/admission/opening_queue.h"
#include "common/base/random.h"

#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kLimit = 3;
const std::vector<std::string> kPools = {"dispatch", "mapstore"};

/** Callers that open flows, some of which are answered. */
class Callers {
 public:
  explicit Callers(uint64_t seed) : random_(seed) {}

  void step() {
    now_ += milliseconds(random_.below(40));
    const uint64_t draw = random_.below(10);
    if (draw < 6) {
      open(FlowHash{1 + random_.below(40)});
    } else if (draw < 9 && !placed_.empty()) {
      sendLaterPacket();
    }
    take();
  }
  /** Empties the queue without further arrivals. */
  void drain() {
    while (queue_.nextDue()) {
      now_ = std::max(now_, *queue_.nextDue());
      take();
    }
    RC_ASSERT(waiting_.empty());
    RC_ASSERT(queue_.waitingCount() == 0U);
  }

 private:
  struct Waiting {
    std::string pool;
    TimePoint since{};
  };

  const std::string& poolOf(FlowHash flow) const { return kPools[flow.value % kPools.size()]; }

  void open(FlowHash flow) {
    const std::string& pool = poolOf(flow);
    const OpeningDecision decision = queue_.decideOpening(now_, pool, kLimit, flow);
    RC_ASSERT(decision != OpeningDecision::kRefuse);
    RC_ASSERT((decision == OpeningDecision::kWait) == (waiting_.contains(flow) || isFull(pool)));
    if (decision == OpeningDecision::kWait) {
      queue_.hold(now_, {flow, pool, static_cast<uint32_t>(flow.value % 3), seconds(2),
                         std::to_string(flow.value)});
      waiting_.try_emplace(flow, Waiting{pool, now_});
    } else {
      place(flow);
    }
  }
  /** @return whether the pool has no room for a new opening. */
  bool isFull(const std::string& pool) {
    return queue_.decideOpening(now_, pool, kLimit, FlowHash{9999}) == OpeningDecision::kWait;
  }
  void place(FlowHash flow) {
    queue_.onPlaced(now_, poolOf(flow), flow);
    placed_.push_back(flow);
  }
  void sendLaterPacket() {
    FlowPacket packet;
    packet.hash = placed_[random_.below(placed_.size())];
    packet.phase = random_.below(5) == 0 ? PacketPhase::kClosing : PacketPhase::kContinuing;
    packet.acknowledged = static_cast<uint32_t>(random_.below(3));
    queue_.onLaterPacket(now_, packet, milliseconds(100));
  }
  void take() {
    for (const std::string& bytes : queue_.take(now_)) {
      const FlowHash flow{std::stoull(bytes)};
      const auto waited = waiting_.find(flow);
      RC_ASSERT(waited != waiting_.end());
      const OpeningDecision decision =
          queue_.decideOpening(now_, waited->second.pool, kLimit, flow);
      RC_ASSERT(decision != OpeningDecision::kWait);
      if (decision == OpeningDecision::kRefuse) {
        RC_ASSERT(now_ - waited->second.since >= milliseconds(333));
      } else {
        place(flow);
      }
      waiting_.erase(waited);
    }
    for (const auto& [flow, waited] : waiting_) {
      RC_ASSERT(now_ - waited.since <= OpeningQueue::kMaxWait);
    }
  }

  RandomSource random_;
  OpeningQueue queue_{OpeningLimits{}};
  TimePoint now_{seconds(1000)};
  std::map<FlowHash, Waiting> waiting_;
  std::vector<FlowHash> placed_;
};

}  // namespace

TEST_GROUP_BASE(OpeningQueueProperty, test::WithoutLeakDetection){};

TEST(OpeningQueueProperty, ReleasesEveryQueuedOpeningOnceAndInTime) {
  const bool held = rc::check("what waits is given back once and in time", [] {
    Callers callers(*rc::gen::arbitrary<uint64_t>());
    for (int step = 0; step < 300; ++step) {
      callers.step();
    }
    callers.drain();
  });
  CHECK_TRUE(held);
}

}  // namespace umberhold
