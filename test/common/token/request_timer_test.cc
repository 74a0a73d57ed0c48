/** @file Response time measurement from the packets of callers alone. */
#include "common/token/request_timer.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kToken = 77;
constexpr Duration kOverdueAfter = milliseconds(400);

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
  std::optional<Duration> record(const FlowPacket& given) {
    const auto response = timer.record(now, given, kOverdueAfter);
    overdue = timer.onCaughtUp(now);
    return response;
  }
  std::vector<OverdueRequest> overdue;
};

TEST(RequestTimer, MeasuresUntilTheFirstAnswerIsAcknowledged) {
  CHECK_FALSE(record(packet(1, 100, 500, 176)).has_value());
  now += milliseconds(45);
  const auto response = record(packet(1, 276, 1700, 0));
  CHECK_TRUE(response == milliseconds(45));
  now += milliseconds(1);
  CHECK_FALSE(record(packet(1, 276, 2900, 0)).has_value());
}

TEST(RequestTimer, TimesEachRequestWithoutPausesInBetween) {
  record(packet(1, 100, 500, 176));
  now += milliseconds(40);
  record(packet(1, 276, 1700, 0));
  now += seconds(5);
  record(packet(1, 276, 1700, 20));
  now += milliseconds(1);
  record(packet(1, 296, 1700, 150));
  now += milliseconds(60);
  CHECK_TRUE(record(packet(1, 446, 2900, 0)) == milliseconds(61));
}

TEST(RequestTimer, IgnoresReorderedAcknowledgementsOfTheAnswerBefore) {
  record(packet(1, 100, 500, 176));
  now += milliseconds(40);
  record(packet(1, 276, 2900, 0));
  now += milliseconds(2);
  record(packet(1, 276, 2900, 176));
  now += milliseconds(1);
  CHECK_FALSE(record(packet(1, 276, 1700, 0)).has_value());
  now += milliseconds(50);
  CHECK_TRUE(record(packet(1, 452, 4100, 0)) == milliseconds(51));
}

TEST(RequestTimer, DoesNotTimeARetransmittedRequest) {
  record(packet(1, 100, 500, 176));
  now += milliseconds(200);
  record(packet(1, 100, 500, 176));
  now += milliseconds(40);
  CHECK_FALSE(record(packet(1, 276, 1700, 0)).has_value());
}

TEST(RequestTimer, DoesNotTimeARequestWithACallerPause) {
  record(packet(1, 100, 500, 176));
  now += seconds(2);
  CHECK_FALSE(record(packet(1, 276, 1700, 176)).has_value());
  now += milliseconds(30);
  CHECK_TRUE(record(packet(1, 452, 2900, 0)) == milliseconds(30));
}

TEST(RequestTimer, DoesNotTimeRequestsHandledFromABacklog) {
  timer.record(now, packet(1, 100, 500, 176), kOverdueAfter);
  now += milliseconds(1);
  CHECK_FALSE(timer.record(now, packet(1, 276, 1700, 0), kOverdueAfter).has_value());
}

TEST(RequestTimer, DoesNotTimeARequestFollowedByOneThroughAnotherNode) {
  record(packet(1, 100, 500, 176));
  now += seconds(3);
  CHECK_FALSE(record(packet(1, 452, 2900, 0)).has_value());
}

TEST(RequestTimer, ReportsAnOverdueRequestOnceAndNotItsLateAnswer) {
  record(packet(1, 100, 500, 176));
  now += milliseconds(399);
  record(packet(2, 1, 1, 0));
  CHECK_TRUE(overdue.empty());
  now += milliseconds(1);
  record(packet(2, 1, 1, 0));
  LONGS_EQUAL(1, overdue.size());
  LONGS_EQUAL(kToken, overdue[0].token);
  CHECK_TRUE(overdue[0].waited == milliseconds(400));
  now += seconds(1);
  CHECK_FALSE(record(packet(1, 276, 1700, 0)).has_value());
  CHECK_TRUE(overdue.empty());
}

TEST(RequestTimer, DropsARequestAbandonedByItsCaller) {
  record(packet(1, 100, 500, 176));
  FlowPacket closing = packet(1, 276, 500, 0);
  closing.phase = PacketPhase::kClosing;
  record(closing);
  now += seconds(1);
  record(packet(2, 1, 1, 0));
  CHECK_TRUE(overdue.empty());
}

TEST(RequestTimer, DoesNotTimeAnEvictedRequest) {
  record(packet(1, 100, 500, 176));
  record(packet(1 + 1024, 100, 500, 176));
  now += milliseconds(50);
  CHECK_FALSE(record(packet(1, 276, 1700, 0)).has_value());
  CHECK_TRUE(record(packet(1 + 1024, 276, 1700, 0)) == milliseconds(50));
}

TEST(RequestTimer, HandlesSequenceNumberWraparound) {
  record(packet(1, 0xFFFFFFF0, 0xFFFFFF00, 176));
  now += milliseconds(20);
  CHECK_TRUE(record(packet(1, 160, 100, 0)) == milliseconds(20));
}

}  // namespace umberhold
