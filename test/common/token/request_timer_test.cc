/** @file Requests are timed by their callers' packets alone. */
#include "common/token/request_timer.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kToken = 77;
constexpr Duration kPatience = milliseconds(400);

}  // namespace

TEST_GROUP(RequestTimer) {
  RequestTimer timer;
  TimePoint now{seconds(1000)};

  FlowPacket packet(uint64_t flow, uint32_t sequence, uint32_t acknowledged, uint32_t dataBytes) {
    FlowPacket made;
    made.hash = FlowHash{flow};
    made.phase = PacketPhase::kContinuing;
    made.token = kToken;
    made.sequence = sequence;
    made.acknowledged = acknowledged;
    made.dataBytes = dataBytes;
    return made;
  }
  std::optional<Duration> note(const FlowPacket& given) {
    const auto response = timer.note(now, given, kPatience);
    overdue = timer.onCaughtUp(now);
    return response;
  }
  std::vector<OverdueRequest> overdue;
};

TEST(RequestTimer, TellsTheTimeUntilTheFirstAnswerIsAcknowledged) {
  CHECK_FALSE(note(packet(1, 100, 500, 176)).has_value());
  now += milliseconds(45);
  const auto response = note(packet(1, 276, 1700, 0));
  CHECK_TRUE(response == milliseconds(45));
  now += milliseconds(1);
  CHECK_FALSE(note(packet(1, 276, 2900, 0)).has_value());
}

TEST(RequestTimer, TimesEachRequestOfAFlowWithoutThePausesInBetween) {
  note(packet(1, 100, 500, 176));
  now += milliseconds(40);
  note(packet(1, 276, 1700, 0));
  now += seconds(5);
  note(packet(1, 276, 1700, 20));
  now += milliseconds(1);
  note(packet(1, 296, 1700, 150));
  now += milliseconds(60);
  CHECK_TRUE(note(packet(1, 446, 2900, 0)) == milliseconds(61));
}

TEST(RequestTimer, IgnoresReorderedAcknowledgementsOfTheAnswerBefore) {
  note(packet(1, 100, 500, 176));
  now += milliseconds(40);
  note(packet(1, 276, 2900, 0));
  now += milliseconds(2);
  note(packet(1, 276, 2900, 176));
  now += milliseconds(1);
  CHECK_FALSE(note(packet(1, 276, 1700, 0)).has_value());
  now += milliseconds(50);
  CHECK_TRUE(note(packet(1, 452, 4100, 0)) == milliseconds(51));
}

TEST(RequestTimer, DoesNotTellTheTimeOfARequestThatWasSentAgain) {
  note(packet(1, 100, 500, 176));
  now += milliseconds(200);
  note(packet(1, 100, 500, 176));
  now += milliseconds(40);
  CHECK_FALSE(note(packet(1, 276, 1700, 0)).has_value());
}

TEST(RequestTimer, DoesNotTellATimeThatHoldsACallersPause) {
  note(packet(1, 100, 500, 176));
  now += seconds(2);
  CHECK_FALSE(note(packet(1, 276, 1700, 176)).has_value());
  now += milliseconds(30);
  CHECK_TRUE(note(packet(1, 452, 2900, 0)) == milliseconds(30));
}

TEST(RequestTimer, DoesNotTellTheTimeOfPacketsThatWaitedForThisNode) {
  timer.note(now, packet(1, 100, 500, 176), kPatience);
  now += milliseconds(1);
  CHECK_FALSE(timer.note(now, packet(1, 276, 1700, 0), kPatience).has_value());
}

TEST(RequestTimer, DoesNotTellTheTimeOfALaterRequestThatPassedAnotherNode) {
  note(packet(1, 100, 500, 176));
  now += seconds(3);
  CHECK_FALSE(note(packet(1, 452, 2900, 0)).has_value());
}

TEST(RequestTimer, TellsOnceThatARequestIsOverdueAndNotItsLateAnswer) {
  note(packet(1, 100, 500, 176));
  now += milliseconds(399);
  note(packet(2, 1, 1, 0));
  CHECK_TRUE(overdue.empty());
  now += milliseconds(1);
  note(packet(2, 1, 1, 0));
  LONGS_EQUAL(1, overdue.size());
  LONGS_EQUAL(kToken, overdue[0].token);
  CHECK_TRUE(overdue[0].waited == milliseconds(400));
  now += seconds(1);
  CHECK_FALSE(note(packet(1, 276, 1700, 0)).has_value());
  CHECK_TRUE(overdue.empty());
}

TEST(RequestTimer, ForgetsARequestWhoseCallerGaveUp) {
  note(packet(1, 100, 500, 176));
  FlowPacket closing = packet(1, 276, 500, 0);
  closing.phase = PacketPhase::kClosing;
  note(closing);
  now += seconds(1);
  note(packet(2, 1, 1, 0));
  CHECK_TRUE(overdue.empty());
}

TEST(RequestTimer, DoesNotTimeWhatAnotherFlowPushedOut) {
  note(packet(1, 100, 500, 176));
  note(packet(1 + 1024, 100, 500, 176));
  now += milliseconds(50);
  CHECK_FALSE(note(packet(1, 276, 1700, 0)).has_value());
  CHECK_TRUE(note(packet(1 + 1024, 276, 1700, 0)) == milliseconds(50));
}

TEST(RequestTimer, WorksWhereNumbersWrapAround) {
  note(packet(1, 0xFFFFFFF0, 0xFFFFFF00, 176));
  now += milliseconds(20);
  CHECK_TRUE(note(packet(1, 160, 100, 0)) == milliseconds(20));
}

}  // namespace umberhold
