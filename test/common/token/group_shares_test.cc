/** @file Splitting new flows over groups in proportion to their shares. */
#include "common/token/group_shares.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace umberhold;

TEST_GROUP(GroupShares) {
  RandomSource random{7};

  std::map<std::string, int> placed(GroupShares & shares, int flows) {
    std::map<std::string, int> counts;
    for (int flow = 0; flow < flows; ++flow) {
      const std::string expected = *shares.next();
      const auto turns = shares.begin();
      STRCMP_EQUAL(expected.c_str(), turns.front().pool.c_str());
      shares.onPlaced(turns.front());
      ++counts[turns.front().pool];
    }
    return counts;
  }
};

TEST(GroupShares, EachGroupGetsItsShare) {
  GroupShares shares({{"new", 10}, {"old", 90}}, random);
  auto counts = placed(shares, 1000);
  LONGS_EQUAL(100, counts["new"]);
  LONGS_EQUAL(900, counts["old"]);
}

TEST(GroupShares, GroupWithoutAShareIsNeverSelected) {
  GroupShares shares({{"new", 0}, {"old", 5}}, random);
  LONGS_EQUAL(1, shares.begin().size());
  STRCMP_EQUAL("old", shares.next()->c_str());
  LONGS_EQUAL(2, shares.pools().size());
}

TEST(GroupShares, SelectsNoGroupIfNoneHasAShare) {
  GroupShares shares({{"new", 0}}, random);
  POINTERS_EQUAL(nullptr, shares.next());
  LONGS_EQUAL(0, shares.begin().size());
  POINTERS_EQUAL(nullptr, GroupShares().next());
}

TEST(GroupShares, ChargedTurnIsNotRepaidLater) {
  GroupShares shares({{"a", 1}, {"b", 1}}, random);
  std::map<std::string, int> taken;
  for (int flow = 0; flow < 10; ++flow) {
    ++taken[*shares.next()];
    shares.takeTurn();
  }
  LONGS_EQUAL(5, taken["a"]);
  auto counts = placed(shares, 10);
  LONGS_EQUAL(5, counts["a"]);
}

TEST(GroupShares, FindsGroupsThatHaveAShare) {
  GroupShares shares({{"new", 0}, {"old", 5}}, random);
  CHECK_TRUE(shares.indexOf("old") == 1U);
  CHECK_FALSE(shares.indexOf("new").has_value());
  CHECK_FALSE(shares.indexOf("other").has_value());
  DOUBLES_EQUAL(1.0, shares.fractionOf(1), 1e-9);
}

TEST(GroupShares, UnservedGroupReceivesItsFlowsLater) {
  GroupShares shares({{"a", 1}, {"b", 1}}, random);
  for (int flow = 0; flow < 10; ++flow) {
    for (const auto& turn : shares.begin()) {
      if (turn.pool == "b") {
        shares.onPlaced(turn);
      }
    }
  }
  auto counts = placed(shares, 10);
  LONGS_EQUAL(10, counts["a"]);
}
