/** @file Tests of unsolicited host messages: retransmission, acknowledgement and abandonment. */
#include "standins/backend/push_sender.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace umberhold::standins;

namespace {

constexpr UnixMillis kStart = 1'000'000;
constexpr uint32_t kMeanPause = 100'000;

}  // namespace

TEST_GROUP(PushSender) {
  RandomSource random{1};
  PushCounters counters;
  uint64_t nextId = 7;
  PushSender pushes{kStart, kMeanPause, random};

  std::vector<uint64_t> due(UnixMillis after) {
    return pushes.due(kStart + after, nextId, random, counters);
  }
  /** Runs until the first push is sent. @return its time after the start. */
  UnixMillis sendFirstPush() {
    UnixMillis after = 0;
    while (due(after).empty()) {
      after += 100;
    }
    return after;
  }
};

TEST(PushSender, SendsFirstPushWithinTheInterval) {
  const UnixMillis after = sendFirstPush();
  CHECK(after >= kMeanPause / 2 && after <= kMeanPause / 2 + kMeanPause + 100);
  CHECK_EQUAL(8U, nextId);
  CHECK_EQUAL(1U, counters.sent);
}

TEST(PushSender, RetransmitsPushWithSameIdUntilAcknowledged) {
  const UnixMillis sentAt = sendFirstPush();
  CHECK(due(sentAt + 999).empty());
  const auto retransmitted = due(sentAt + 1000);
  CHECK_EQUAL(1U, retransmitted.size());
  CHECK_EQUAL(7U, retransmitted[0]);
  pushes.onReceipt(7, counters);
  pushes.onReceipt(7, counters);
  CHECK(due(sentAt + 2000).empty());
  CHECK_EQUAL(1U, counters.sent);
  CHECK_EQUAL(1U, counters.received);
}

TEST(PushSender, AbandonsAndCountsUnacknowledgedPush) {
  const UnixMillis sentAt = sendFirstPush();
  for (int retransmission = 1; retransmission < 10; ++retransmission) {
    CHECK_EQUAL(1U, due(sentAt + 1000 * retransmission).size());
  }
  CHECK_EQUAL(0U, counters.lost);
  CHECK(due(sentAt + 10'000).empty());
  CHECK_EQUAL(1U, counters.lost);
  pushes.onReceipt(7, counters);
  CHECK_EQUAL(0U, counters.received);
}
