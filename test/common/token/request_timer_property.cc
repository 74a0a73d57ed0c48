/**
 * @file Reported times are correct, whatever packets are lost, retransmitted, reordered or routed
 * through other nodes.
 */
#include <rapidcheck.h>
#include <map>

#include "common/token/request_timer.h"
#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kRequestBytes = 200;
constexpr uint32_t kAnswerBytes = 1200;

/** A caller and its host on one flow with known true times. */
class SimulatedFlow {
 public:
  SimulatedFlow(uint64_t flow, RequestTimer& timer) : timer_(timer) {
    packet_.hash = FlowHash{flow};
    packet_.token = static_cast<uint32_t>(flow) + 1;
    packet_.phase = PacketPhase::kContinuing;
    packet_.sequence = 1000;
    packet_.acknowledged = 5000;
  }

  /**
   * One request with its answer.
   * @return the time after it.
   */
  TimePoint exchange(TimePoint now) {
    now += milliseconds(*rc::gen::inRange(0, 3000));
    const TimePoint sentAt = now;
    const bool ownsRequest = passes();
    if (ownsRequest) {
      send(now, kRequestBytes, packet_.acknowledged);
    }
    const auto copies = *rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {1, 2}});
    for (int copy = 0; copy < copies; ++copy) {
      now += milliseconds(200);
      if (passes()) {
        send(now, kRequestBytes, packet_.acknowledged);
      }
    }
    const uint32_t before = packet_.acknowledged;
    packet_.sequence += kRequestBytes;
    now += milliseconds(*rc::gen::inRange(1, 900));
    if (*rc::gen::inRange(0, 4) == 0) {
      send(now, 0, before);  // An older acknowledgement that the request overtook.
      now += milliseconds(1);
    }
    packet_.acknowledged += kAnswerBytes;
    if (passes()) {
      const auto measured = send(now, 0, packet_.acknowledged);
      if (measured) {
        // If the first transmission passed through another node, the measurement may start at a
        // retransmission; it must not exceed the true time.
        RC_ASSERT(*measured <= now - sentAt);
        RC_ASSERT(!ownsRequest || *measured == now - sentAt);
      }
    }
    return now;
  }

 private:
  /** @return whether a packet passes through this node rather than another one. */
  static bool passes() { return *rc::gen::inRange(0, 8) != 0; }
  std::optional<Duration> send(TimePoint now, uint32_t bytes, uint32_t acknowledged) {
    FlowPacket sent = packet_;
    sent.dataBytes = bytes;
    sent.acknowledged = acknowledged;
    const auto measured = timer_.record(now, sent, milliseconds(500));
    timer_.onCaughtUp(now);
    return measured;
  }

  RequestTimer& timer_;
  FlowPacket packet_;
};

}  // namespace

TEST_GROUP_BASE(RequestTimerProperty, test::WithoutLeakDetection){};

TEST(RequestTimerProperty, ReturnsOnlyTrueTimes) {
  CHECK_TRUE(rc::check("measured times are the true ones", [] {
    RequestTimer timer;
    TimePoint now{seconds(1000)};
    SimulatedFlow first(3, timer);
    SimulatedFlow second(4, timer);
    const auto exchanges = *rc::gen::inRange(1, 40);
    for (int index = 0; index < exchanges; ++index) {
      now = (*rc::gen::inRange(0, 2) == 0 ? first : second).exchange(now);
    }
  }));
}

}  // namespace umberhold
