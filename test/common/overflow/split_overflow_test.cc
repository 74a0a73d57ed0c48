/** @file Which openings overflow from a part of a split that has no room, and where they go. */
#include "common/overflow/split_overflow.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

/** More than half of its limit is free. */
const PartUse kSpare{true, 1.0, 10.0, 0.0, 2.0};
const PartUse kFull{true, 10.0, 10.0, 2.0, 2.0};

}  // namespace

TEST_GROUP(SplitOverflow) {
  RandomSource random{7};

  SplitOverflow unbounded() {
    return {{OverflowMode::kByRoom, 1.0}, random};
  }
  /** @return how many of `openings` openings overflow while the first part is full. */
  int overflows(SplitOverflow & overflow, const std::vector<SplitPart>& parts, int openings) {
    int count = 0;
    for (int opening = 0; opening < openings; ++opening) {
      count += overflow.choose(parts, 0) ? 1 : 0;
    }
    return count;
  }
};

TEST(SplitOverflow, OpeningOverflowsToAPartWithRoom) {
  SplitOverflow overflow = unbounded();
  const auto chosen = overflow.choose({{0.5, kFull}, {0.5, kSpare}}, 0);
  CHECK_TRUE(chosen.has_value());
  LONGS_EQUAL(1, *chosen);
}

TEST(SplitOverflow, LessUsedOfTwoPartsTakesTheOpening) {
  SplitOverflow overflow = unbounded();
  PartUse idle = kSpare;
  idle.openings = 0.0;
  const std::vector<SplitPart> parts = {{0.2, kFull}, {0.4, kSpare}, {0.4, idle}};
  int chosen = 0;
  for (int opening = 0; opening < 100; ++opening) {
    const auto part = overflow.choose(parts, 0);
    chosen += part ? 1 : 0;
    LONGS_EQUAL(2, part.value_or(2));
  }
  CHECK_TRUE(chosen >= 60);
}

/** Guards against credit of a large part being spent on a small one whenever that is momentarily
 * less used: one in six overflowing openings went to a part with a weight of one hundredth. */
TEST(SplitOverflow, SpendsCreditOnlyOnThePartThatEarnedIt) {
  SplitOverflow overflow{{OverflowMode::kByRoom, 0.1}, random};
  PartUse idle = kSpare;
  idle.openings = 0.0;
  int small = 0;
  for (int opening = 0; opening < 600; ++opening) {
    const bool isSmallIdle = opening % 6 == 5;
    const std::vector<SplitPart> parts = {
        {0.495, kFull}, {0.495, isSmallIdle ? kSpare : idle}, {0.01, isSmallIdle ? idle : kSpare}};
    small += overflow.choose(parts, 0) == std::optional<size_t>(2) ? 1 : 0;
  }
  CHECK_TRUE(small <= 2);
}

TEST(SplitOverflow, NothingOverflowsIfOtherPartsHaveNoRoom) {
  SplitOverflow overflow = unbounded();
  LONGS_EQUAL(0, overflows(overflow, {{0.5, kFull}, {0.5, kFull}}, 100));
  LONGS_EQUAL(0, overflows(overflow, {{1.0, kFull}}, 100));
}

TEST(SplitOverflow, NothingOverflowsIntoAPartWithoutWeight) {
  SplitOverflow overflow = unbounded();
  LONGS_EQUAL(0, overflows(overflow, {{1.0, kFull}, {0.0, kSpare}}, 100));
}

TEST(SplitOverflow, NothingOverflowsIntoAPoolOfUnknownRoom) {
  SplitOverflow overflow = unbounded();
  LONGS_EQUAL(0, overflows(overflow, {{0.5, kFull}, {0.5, PartUse{}}}, 100));
}

TEST(SplitOverflow, LeavesHalfOfTheOpeningsToThePoolsOwnCallers) {
  PartUse use = kSpare;
  use.openings = 4.0;
  CHECK_TRUE(SplitOverflow::hasSpareRoom(use));
  use.openings = 5.0;
  CHECK_FALSE(SplitOverflow::hasSpareRoom(use));
}

TEST(SplitOverflow, IdlePoolWithTheMinimumLimitHasRoom) {
  CHECK_TRUE(SplitOverflow::hasSpareRoom({true, 0.0, 2.0, 0.0, 0.1}));
  CHECK_FALSE(SplitOverflow::hasSpareRoom({true, 1.0, 2.0, 0.0, 0.1}));
}

TEST(SplitOverflow, HostsBusyWithOpenFlowsHaveNoRoom) {
  PartUse use = kSpare;
  use.requests = 4.0;
  CHECK_TRUE(SplitOverflow::hasSpareRoom(use));
  use.requests = 4.1;
  CHECK_FALSE(SplitOverflow::hasSpareRoom(use));
}

TEST(SplitOverflow, OverflowIntoAPartIsBounded) {
  SplitOverflow overflow{{OverflowMode::kByRoom, 0.15}, random};
  // Of 1000 flows, 500 are due to the part without room; 150 are 0.15 of all flows.
  const int count = overflows(overflow, {{0.5, kFull}, {0.5, kSpare}}, 500);
  CHECK_TRUE(count >= 149 && count <= 151);
}

TEST(SplitOverflow, OverflowAtMostDoublesAPartOfSmallWeight) {
  SplitOverflow overflow{{OverflowMode::kByRoom, 0.15}, random};
  const int count = overflows(overflow, {{0.99, kFull}, {0.01, kSpare}}, 990);
  CHECK_TRUE(count >= 9 && count <= 11);
}

TEST(SplitOverflow, ModeDeterminesServicesThatMayOverflow) {
  const OverflowOptions off{};
  CHECK_FALSE(off.appliesTo(true));
  const OverflowOptions repeatable{OverflowMode::kRepeatable};
  CHECK_TRUE(repeatable.appliesTo(true));
  CHECK_FALSE(repeatable.appliesTo(false));
  CHECK_TRUE(OverflowOptions{OverflowMode::kByRoom}.appliesTo(false));
}

TEST(SplitOverflow, ModeNamesRoundTrip) {
  for (const OverflowMode mode :
       {OverflowMode::kOff, OverflowMode::kByRoom, OverflowMode::kRepeatable}) {
    CHECK_TRUE(parseOverflowMode(toString(mode)) == mode);
  }
  CHECK_FALSE(parseOverflowMode("always").has_value());
}
