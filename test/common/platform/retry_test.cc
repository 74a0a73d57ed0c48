/** @file Backoff and retry budget. */
#include "common/platform/retry.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace std::chrono_literals;

TEST_GROUP(Retry) {
  RandomSource random{20261202};
  TimePoint start{1h};
};

TEST(Retry, DelaysDoubleWithJitterUpToTheMaximum) {
  BackOff backOff({100ms, 1s}, random);
  for (const Duration range : {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms}) {
    const Duration wait = backOff.next();
    CHECK_TRUE(wait >= range / 2);
    CHECK_TRUE(wait <= range);
  }
  backOff.reset();
  CHECK_TRUE(backOff.next() <= 100ms);
}

TEST(Retry, NeverRetriesBeforeRetryAfter) {
  BackOff backOff({100ms, 1s}, random);
  for (int round = 0; round < 100; ++round) {
    const Duration wait = backOff.next(Duration(7s));
    CHECK_TRUE(wait >= 7s);
    CHECK_TRUE(wait <= 9s);
  }
}

TEST(Retry, ClientsThatFailedTogetherDoNotRetryTogether) {
  BackOff left({1s, 10s}, random);
  BackOff right({1s, 10s}, random);
  CHECK_TRUE(left.next() != right.next());
}

TEST(Retry, BudgetBoundsRetriesAndRefills) {
  RetryBudget budget({3, 2s});
  for (int retry = 0; retry < 3; ++retry) {
    CHECK_TRUE(budget.tryTake(start));
  }
  CHECK_FALSE(budget.tryTake(start + 1s));
  CHECK_TRUE(budget.waitTime(start + 1s) == 1s);
  CHECK_TRUE(budget.tryTake(start + 2s));
  CHECK_FALSE(budget.tryTake(start + 3s));
  int earned = 0;
  while (budget.tryTake(start + 1h)) {
    ++earned;
  }
  CHECK_EQUAL(3, earned);
}
