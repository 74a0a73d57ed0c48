/** @file Tests of unsolicited host messages: retransmission, acknowledgement and abandonment. */
#include "standins/backend/push_sender.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace umberhold::standins;

namespace {

constexpr UnixMillis kStart = 1'000'000;
constexpr uint32_t kPause = 100'000;

}  // namespace

TEST_GROUP(PushSender) {
  RandomSource random{1};
  PushCounters counters;
  uint64_t nextId = 7;
  PushSender pushes{kStart, kPause, random};

  std::vector<uint64_t> due(UnixMillis after) {
    return pushes.due(kStart + after, nextId, random, counters);
  }
  /** Runs until the first push is sent. @return its time after the start. */
  UnixMillis first() {
    UnixMillis after = 0;
    while (due(after).empty()) {
      after += 100;
    }
    return after;
  }
};

TEST(PushSender, SendsFirstPushWithinTheInterval) {
  const UnixMillis after = first();
  CHECK(after >= kPause / 2 && after <= kPause / 2 + kPause + 100);
  CHECK_EQUAL(8U, nextId);
  CHECK_EQUAL(1U, counters.sent);
}

TEST(PushSender, RetransmitsPushWithSameIdUntilAcknowledged) {
  const UnixMillis sent = first();
  CHECK(due(sent + 999).empty());
  const auto repeated = due(sent + 1000);
  CHECK_EQUAL(1U, repeated.size());
  CHECK_EQUAL(7U, repeated[0]);
  pushes.onReceipt(7, counters);
  pushes.onReceipt(7, counters);
  CHECK(due(sent + 2000).empty());
  CHECK_EQUAL(1U, counters.sent);
  CHECK_EQUAL(1U, counters.received);
}

TEST(PushSender, AbandonsAndCountsUnacknowledgedPush) {
  const UnixMillis sent = first();
  for (int repeat = 1; repeat < 10; ++repeat) {
    CHECK_EQUAL(1U, due(sent + 1000 * repeat).size());
  }
  CHECK_EQUAL(0U, counters.lost);
  CHECK(due(sent + 10'000).empty());
  CHECK_EQUAL(1U, counters.lost);
  pushes.onReceipt(7, counters);
  CHECK_EQUAL(0U, counters.received);
}
