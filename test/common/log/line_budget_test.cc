/** @file Tests of the rate limits for log lines. */
#include "common/log/line_budget.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr LineRates kRates = {LineRate{10, 20}, LineRate{5, 5}, LineRate{100, 100}, LineRate{1, 1}};

int admitted(LineBudget& budget, TimePoint now, LineKind kind, int lines) {
  int count = 0;
  for (int line = 0; line < lines; ++line) {
    count += budget.admit(now, kind) ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_GROUP(LineBudget){};

TEST(LineBudget, AdmitsBurstThenRate) {
  LineBudget budget(kRates);
  LONGS_EQUAL(20, admitted(budget, kStart, LineKind::kPlacement, 50));
  LONGS_EQUAL(10, admitted(budget, kStart + seconds(1), LineKind::kPlacement, 50));
  LONGS_EQUAL(20, admitted(budget, kStart + seconds(100), LineKind::kPlacement, 50));
}

TEST(LineBudget, FloodOfOneKindDoesNotAffectOtherKinds) {
  LineBudget budget(kRates);
  admitted(budget, kStart, LineKind::kPlacement, 100000);
  LONGS_EQUAL(100, admitted(budget, kStart, LineKind::kFailure, 100));
}

TEST(LineBudget, ReportsSuppressedLinesOnce) {
  LineBudget budget(kRates);
  admitted(budget, kStart, LineKind::kRequest, 12);
  LONGS_EQUAL(7, budget.takeSuppressed(LineKind::kRequest));
  LONGS_EQUAL(0, budget.takeSuppressed(LineKind::kRequest));
  LONGS_EQUAL(7, budget.suppressed(LineKind::kRequest));
  LONGS_EQUAL(0, budget.suppressed(LineKind::kPlacement));
}

TEST(LineBudget, NonIncreasingTimeAddsNoTokens) {
  LineBudget budget(kRates);
  LONGS_EQUAL(1, admitted(budget, kStart, LineKind::kStateChange, 5));
  LONGS_EQUAL(0, admitted(budget, kStart - seconds(10), LineKind::kStateChange, 5));
  LONGS_EQUAL(0, admitted(budget, kStart, LineKind::kStateChange, 5));
}

}  // namespace umberhold
