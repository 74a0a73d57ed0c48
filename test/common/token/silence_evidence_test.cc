/** @file Data that a host does not acknowledge, as seen by one node. */
#include "common/token/silence_evidence.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

}  // namespace

TEST_GROUP(SilenceEvidence) {
  SilenceEvidence evidence;
};

TEST(SilenceEvidence, CountsCopiesAndEachCallerOnce) {
  evidence.onCopy(kStart + milliseconds(200), kStart, kStart, 1);
  evidence.onCopy(kStart + milliseconds(250), kStart - milliseconds(50), kStart - milliseconds(50),
                  2);
  evidence.onCopy(kStart + milliseconds(600), kStart, kStart + milliseconds(200), 1);
  const HostAckState state = evidence.ackState(7);
  LONGS_EQUAL(7, state.token);
  LONGS_EQUAL(3, state.copies);
  LONGS_EQUAL(2, state.callers.size());
  CHECK_TRUE(state.since == kStart - milliseconds(50));
  CHECK_FALSE(state.answeredAt.has_value());
}

TEST(SilenceEvidence, AcknowledgementEndsSilence) {
  evidence.onCopy(kStart, kStart, kStart, 1);
  evidence.onAnswered(kStart + milliseconds(300));
  LONGS_EQUAL(0, evidence.ackState(7).copies);
  LONGS_EQUAL(0, evidence.callers());
}

TEST(SilenceEvidence, IgnoresDataSentBeforeAnAcknowledgement) {
  evidence.onAnswered(kStart + milliseconds(100));
  evidence.onCopy(kStart + milliseconds(200), kStart, kStart, 1);
  LONGS_EQUAL(0, evidence.ackState(7).copies);
  evidence.onCopy(kStart + milliseconds(400), kStart + milliseconds(200),
                  kStart + milliseconds(200), 1);
  LONGS_EQUAL(1, evidence.ackState(7).copies);
}

TEST(SilenceEvidence, RecordsABoundedNumberOfCallers) {
  for (uint32_t caller = 1; caller <= 1000; ++caller) {
    evidence.onCopy(kStart, kStart, kStart, caller);
  }
  LONGS_EQUAL(SilenceEvidence::kMaxCallers, evidence.callers());
  LONGS_EQUAL(1000, evidence.ackState(7).copies);
}

}  // namespace umberhold
