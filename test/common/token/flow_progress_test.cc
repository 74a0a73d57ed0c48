/** @file Classification of packets as retransmissions that a host left unacknowledged. */
#include "common/token/flow_progress.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kToken = 5;

}  // namespace

TEST_GROUP(FlowProgress) {
  FlowProgress progress;
  TimePoint now{seconds(1000)};

  static FlowPacket packet(uint32_t sequence, uint32_t acknowledged, uint32_t bytes) {
    FlowPacket made;
    made.hash = FlowHash{1};
    made.token = kToken;
    made.phase = PacketPhase::kContinuing;
    made.sequence = sequence;
    made.acknowledged = acknowledged;
    made.dataBytes = bytes;
    return made;
  }
  /** The node has no backlog: each packet is handled as it arrives. */
  PacketProgress record(uint32_t sequence, uint32_t acknowledged, uint32_t bytes = 100) {
    const PacketProgress result = progress.record(now, packet(sequence, acknowledged, bytes));
    progress.onCaughtUp();
    return result;
  }
};

TEST(FlowProgress, CountsTheCopiesOfOnePacket) {
  const TimePoint first = now;
  LONGS_EQUAL(1, record(10, 1).copies);
  now += milliseconds(200);
  LONGS_EQUAL(2, record(10, 1).copies);
  now += milliseconds(400);
  const PacketProgress third = record(10, 1);
  LONGS_EQUAL(3, third.copies);
  CHECK_TRUE(third.firstAt == first);
  CHECK_FALSE(third.answered);
}

TEST(FlowProgress, DoesNotCountPartsOfOneRequestAsCopies) {
  for (uint32_t part = 0; part < 5; ++part) {
    LONGS_EQUAL(1, record(10 + part * 100, 1).copies);
  }
  now += milliseconds(200);
  LONGS_EQUAL(2, record(10, 1).copies);
  LONGS_EQUAL(1, record(110, 1).copies);
}

TEST(FlowProgress, NextRequestResetsTheCount) {
  record(10, 1);
  now += milliseconds(500);
  LONGS_EQUAL(1, record(110, 1).copies);
  now += milliseconds(200);
  LONGS_EQUAL(2, record(110, 1).copies);
}

TEST(FlowProgress, NewAcknowledgementShowsAnAnswer) {
  record(10, 1);
  CHECK_TRUE(record(10, 700, 0).answered);
  CHECK_FALSE(record(10, 700, 0).answered);
  // Also with wraparound.
  record(10, 0xFFFFFFF0U);
  FlowProgress other;
  other.record(now, packet(10, 0xFFFFFFF0U, 100));
  CHECK_TRUE(other.record(now, packet(10, 16, 0)).answered);
}

TEST(FlowProgress, CountsNoCopiesWithABacklog) {
  progress.record(now, packet(10, 1, 100));
  now += milliseconds(200);
  LONGS_EQUAL(1, progress.record(now, packet(10, 1, 100)).copies);
  now += milliseconds(400);
  LONGS_EQUAL(1, progress.record(now, packet(10, 1, 100)).copies);
  progress.onCaughtUp();
  now += milliseconds(800);
  LONGS_EQUAL(2, progress.record(now, packet(10, 1, 100)).copies);
}

TEST(FlowProgress, ReturnsTheFirstTransmissionOfAnsweredData) {
  const TimePoint first = now;
  record(10, 1);
  now += milliseconds(200);
  record(10, 1);
  now += milliseconds(150);
  CHECK_TRUE(record(110, 700, 0).answeredSentAt == first);
  CHECK_FALSE(record(110, 1400, 0).answeredSentAt.has_value());
}

TEST(FlowProgress, ResetsTheCountWhenTheHostChanges) {
  record(10, 1);
  now += milliseconds(200);
  FlowPacket moved = packet(10, 1, 100);
  moved.token = kToken + 1;
  LONGS_EQUAL(1, progress.record(now, moved).copies);
}

}  // namespace umberhold
