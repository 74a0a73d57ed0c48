/** @file Properties of admission under random load: no opening is queued too long or lost, limits
 * are kept and no service is starved. */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "common/admission/admission.h"
#include "common/base/random.h"

#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kPool = "dispatch";
constexpr Duration kTarget = milliseconds(500);
constexpr uint32_t kServices = 3;
/** Openings per slot; there is a single node. */
constexpr double kOpeningsPerSlot = 4.0;

/** Callers of three services of different priority that share one pool with a varying number of
 * slots. */
class Callers {
 public:
  explicit Callers(uint64_t seed) : random_(seed) {}

  void step() {
    now_ += milliseconds(random_.below(30));
    const uint64_t draw = random_.below(20);
    if (draw < 10) {
      // A new opening, or a retransmission of a queued one.
      const bool isCopy = !waiting_.empty() && random_.below(4) == 0;
      open(isCopy ? waiting_.begin()->first : FlowHash{++flows_});
    } else if (draw < 14 && !placed_.empty()) {
      end();
    } else if (draw < 19) {
      const auto priority = static_cast<uint32_t>(random_.below(kServices));
      const Duration took = milliseconds(random_.below(700));
      admission_.onEnded(now_, kPool, parametersOf(priority),
                         {priority, took, milliseconds(1 + random_.below(80)), false});
    } else {
      slots_ = static_cast<double>(1 + random_.below(4));
    }
    take();
  }
  void drain() {
    while (admission_.nextDue()) {
      now_ = std::max(now_, *admission_.nextDue());
      take();
    }
    RC_ASSERT(waiting_.empty());
  }

 private:
  struct Waiting {
    TimePoint since{};
    uint32_t priority = 0;
  };

  static OpeningParameters parametersOf(uint32_t priority) {
    return {"service", priority, seconds(3), kTarget};
  }
  static uint32_t priorityOf(FlowHash flow) {
    return static_cast<uint32_t>(flow.value % kServices);
  }
  OpeningDecision decideOpening(FlowHash flow) {
    const OpeningParameters parameters = parametersOf(priorityOf(flow));
    const OpeningDecision decision =
        admission_.decideOpening(now_, kPool, parameters, flow, [this] {
          return PoolSize{slots_, 1};
        });
    if (decision == OpeningDecision::kWait) {
      admission_.hold(now_, kPool, parameters, flow, std::to_string(flow.value));
    }
    return decision;
  }
  void open(FlowHash flow) {
    const OpeningDecision decision = decideOpening(flow);
    RC_ASSERT(decision == OpeningDecision::kWait || !waiting_.contains(flow));
    if (decision == OpeningDecision::kWait) {
      waiting_.try_emplace(flow, Waiting{now_, priorityOf(flow)});
    } else if (decision == OpeningDecision::kPlace) {
      place(flow);
    }
  }
  void place(FlowHash flow) {
    admission_.onPlaced(now_, kPool, flow, priorityOf(flow));
    placed_[flow] = now_ + milliseconds(150);
  }
  void end() {
    FlowPacket packet;
    packet.hash = placed_.begin()->first;
    packet.phase = PacketPhase::kClosing;
    admission_.onLaterPacket(now_, packet, milliseconds(100));
    placed_.erase(placed_.begin());
  }
  void take() {
    for (const std::string& bytes : admission_.take(now_)) {
      const FlowHash flow{std::stoull(bytes)};
      RC_ASSERT(waiting_.contains(flow));
      const OpeningDecision decision = decideOpening(flow);
      RC_ASSERT(decision != OpeningDecision::kWait);
      if (decision == OpeningDecision::kPlace) {
        place(flow);
      }
      waiting_.erase(flow);
    }
    std::erase_if(placed_, [this](const auto& entry) { return entry.second <= now_; });
    check();
  }
  void check() const {
    // The limit is not exceeded: the maximum number of slots, plus the guaranteed minimum of each
    // service.
    RC_ASSERT(placed_.size() <= 4 * kOpeningsPerSlot + kServices);
    for (const auto& [flow, waited] : waiting_) {
      RC_ASSERT(now_ - waited.since <= OpeningQueue::kMaxWait);
      // A service with a queued opening has one under way, so it is not starved.
      const uint32_t priority = waited.priority;
      RC_ASSERT(std::any_of(placed_.begin(), placed_.end(), [priority](const auto& entry) {
        return priorityOf(entry.first) == priority;
      }));
    }
  }

  RandomSource random_;
  Admission admission_{OpeningLimits{kOpeningsPerSlot, 1.0 / 6.0}, RoomLimits{1.0 / 3.0}};
  TimePoint now_{seconds(1000)};
  double slots_ = 2.0;
  uint64_t flows_ = 0;
  std::map<FlowHash, Waiting> waiting_;
  std::map<FlowHash, TimePoint> placed_;
};

}  // namespace

TEST_GROUP_BASE(AdmissionProperty, test::WithoutLeakDetection){};

TEST(AdmissionProperty, NoOpeningIsQueuedTooLongOrLostAndNoServiceIsStarved) {
  const bool held = rc::check("bounds hold whatever callers and hosts do", [] {
    Callers callers(*rc::gen::arbitrary<uint64_t>());
    for (int step = 0; step < 400; ++step) {
      callers.step();
    }
    callers.drain();
  });
  CHECK_TRUE(held);
}

TEST(AdmissionProperty, QueueStaysBoundedWithAHundredThousandSources) {
  Admission admission{OpeningLimits{}, RoomLimits{1.0 / 3.0}};
  TimePoint now{seconds(1000)};
  const OpeningParameters parameters{"service", 1, seconds(3), kTarget};
  for (uint64_t flow = 1; flow <= 100000; ++flow) {
    now += std::chrono::microseconds(10);
    const OpeningDecision decision =
        admission.decideOpening(now, kPool, parameters, FlowHash{flow}, [] {
          return PoolSize{2.0, 1};
        });
    if (decision == OpeningDecision::kPlace) {
      admission.onPlaced(now, kPool, FlowHash{flow}, 1);
    } else if (decision == OpeningDecision::kWait) {
      admission.hold(now, kPool, parameters, FlowHash{flow}, "opening");
    }
    const auto figures = admission.figures(now);
    CHECK_TRUE(figures.empty() || figures.front().waiting <= OpeningQueue::kCapacity);
    if (flow % 100 == 0) {
      admission.take(now);
    }
  }
  LONGS_EQUAL(1, admission.counters().size());
}

}  // namespace umberhold
