/** @file The list of known flows: pending flows are sent with other datagrams, or alone. */
#include "common/shard/known_flows.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr double kUnlimited = 1e9;

}  // namespace

TEST_GROUP(KnownFlows) {
  KnownFlowStream stream;
  KnownFlowCopy copy;
  ByteBudget budget{{kUnlimited, kUnlimited}};
  ByteBudget listBudget{{kUnlimited, kUnlimited}};
  TimePoint now{std::chrono::seconds(1000)};

  void deliver(const KnownFlowBatch& batch) {
    copy.onBatch(batch);
    stream.onAck(copy.next());
  }
  /** Gives the replica an empty list. */
  void announce() {
    stream.restart({});
    deliver(*stream.poll(now, budget, listBudget));
  }
};

TEST(KnownFlows, AreSentWithDepartingDatagram) {
  announce();
  stream.add(7);
  stream.add(8);
  const auto piggybacked = stream.takePiggybackBatch(now, budget);
  CHECK_TRUE(piggybacked.has_value());
  deliver(*piggybacked);
  CHECK_EQUAL(2U, copy.complete()->size());
  CHECK_FALSE(stream.takePiggybackBatch(now, budget).has_value());
  now += KnownFlowStream::kPartialBatchDelay;
  CHECK_FALSE(stream.poll(now, budget, listBudget).has_value());
}

/** Sending only some of them would leave the replica with an incomplete list. */
TEST(KnownFlows, AreSentWithDatagramAllOrNone) {
  announce();
  for (FlowFingerprint flow = 1; flow <= KnownFlowStream::kMaxPiggybackedFlows + 1; ++flow) {
    stream.add(flow);
  }
  CHECK_FALSE(stream.takePiggybackBatch(now, budget).has_value());
}

TEST(KnownFlows, AreSentWithDatagramOnlyOnce) {
  announce();
  stream.add(7);
  const auto lost = stream.takePiggybackBatch(now, budget);
  CHECK_TRUE(lost.has_value());
  stream.add(8);
  CHECK_FALSE(stream.takePiggybackBatch(now, budget).has_value());
  now += KnownFlowStream::kResendInterval;
  const auto again = stream.poll(now, budget, listBudget);
  CHECK_EQUAL(2U, again->fingerprints.size());
}

TEST(KnownFlows, AreBatchedOnlyWhileBudgetIsScarce) {
  constexpr double kPerSecond = 100.0;
  constexpr double kBurst = 1000.0;
  announce();
  stream.add(7);
  now += KnownFlowStream::kMinBatchInterval;
  const auto soon = stream.poll(now, budget, listBudget);
  CHECK_TRUE(soon.has_value());
  deliver(*soon);

  ByteBudget scarce{{kPerSecond, kBurst}};
  scarce.consume(now, 0.8 * kBurst);
  stream.add(8);
  now += KnownFlowStream::kMinBatchInterval;
  CHECK_FALSE(stream.poll(now, scarce, listBudget).has_value());
  now += KnownFlowStream::kPartialBatchDelay;
  CHECK_TRUE(stream.poll(now, scarce, listBudget).has_value());
}

TEST(KnownFlows, AreNotSentWithDatagramBeyondBudget) {
  announce();
  stream.add(7);
  ByteBudget empty{{1.0, 1.0}};
  empty.consume(now, 10.0);
  CHECK_FALSE(stream.takePiggybackBatch(now, empty).has_value());
}
