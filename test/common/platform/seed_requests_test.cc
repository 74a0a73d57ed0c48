/** @file Which seed a node asks that starts while the store is silent, and when. */
#include "common/platform/seed_requests.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(SeedRequests) {
  const TimePoint start{seconds(100)};
  const TimePoint nextProbe{start + milliseconds(400)};
  SeedRequests questions;
};

TEST(SeedRequests, OneIsAskedWithEachProbe) {
  CHECK_FALSE(questions.isDue(start, nextProbe));
  CHECK_TRUE(questions.isDue(nextProbe, nextProbe));
  CHECK_FALSE(questions.nextRequestAt(true).has_value());
}

TEST(SeedRequests, ASeedThatPreparesIsAskedAgainSoon) {
  questions.onPreparing(start);
  const TimePoint prepared = start + SeedRequests::kPreparation;
  CHECK_FALSE(questions.isDue(start, nextProbe));
  CHECK_TRUE(questions.isDue(prepared, nextProbe));
  CHECK_TRUE(questions.nextRequestAt(true) == prepared);
  LONGS_EQUAL(0, questions.seed());
}

/** Its caller would else wake again and again for a question that is never asked. */
TEST(SeedRequests, WhereNoAnswerIsNeededAnyMoreNoQuestionIsDue) {
  questions.onPreparing(start);
  CHECK_FALSE(questions.nextRequestAt(false).has_value());
  questions.onAnswered();
  CHECK_FALSE(questions.nextRequestAt(true).has_value());
}

TEST(SeedRequests, AfterAFailureTheNextSeedIsAskedWithTheNextProbe) {
  questions.onPreparing(start);
  questions.onFailed();
  LONGS_EQUAL(1, questions.seed());
  CHECK_FALSE(questions.isDue(start + SeedRequests::kPreparation, nextProbe));
}
