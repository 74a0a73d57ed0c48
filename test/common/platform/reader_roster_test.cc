/** @file Which nodes of a zone read the store for the others. */
#include "common/platform/reader_roster.h"

#include <map>
#include <set>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

RosterNode node(int number, const std::string& zone = "bole", uint32_t capacity = 100) {
  return {"node-" + std::to_string(number), zone,
          Endpoint{0x0A000000 + static_cast<uint32_t>(number), 7400}, capacity};
}

std::vector<RosterNode> nodes(int count) {
  std::vector<RosterNode> result;
  for (int number = 1; number <= count; ++number) {
    result.push_back(node(number));
  }
  return result;
}

ReaderRoster rosterOf(const RosterNode& self, const std::vector<RosterNode>& known) {
  ReaderRoster roster(self);
  roster.setNodes(known);
  return roster;
}

/** @return the names of the nodes that read the store. */
std::set<std::string> readersOf(const std::vector<RosterNode>& all) {
  std::set<std::string> readers;
  for (const RosterNode& self : all) {
    if (rosterOf(self, all).readsItself()) {
      readers.insert(self.name);
    }
  }
  return readers;
}

}  // namespace

TEST_GROUP(ReaderRoster){};

TEST(ReaderRoster, EveryNodeOfASmallZoneReads) {
  CHECK_EQUAL(2U, readersOf(nodes(2)).size());
  const ReaderRoster roster = rosterOf(node(1), nodes(2));
  CHECK_TRUE(roster.candidates().empty());
}

TEST(ReaderRoster, OneNodeInThirtyTwoReadsAndTheOthersPollIt) {
  CHECK_EQUAL(1U, readersOf(nodes(3)).size());
  CHECK_EQUAL(1U, readersOf(nodes(6)).size());
  CHECK_EQUAL(1U, readersOf(nodes(32)).size());
  const auto all = nodes(100);
  const auto readers = readersOf(all);
  CHECK_EQUAL(4U, readers.size());
  std::set<std::string> polled;
  for (const RosterNode& self : all) {
    const ReaderRoster roster = rosterOf(self, all);
    if (!roster.readsItself()) {
      polled.insert(roster.candidates().front().name);
      CHECK_EQUAL(8U, roster.candidates().size());
    }
  }
  CHECK_TRUE(polled == readers);
}

TEST(ReaderRoster, NodesWithTheHighestCapacityRead) {
  auto all = nodes(20);
  all[11].capacity = 500;
  CHECK_TRUE(readersOf(all) == std::set<std::string>{"node-12"});
}

TEST(ReaderRoster, CandidatesExcludeOtherZonesAndTheNodeItself) {
  auto all = nodes(8);
  for (int number = 20; number < 40; ++number) {
    all.push_back(node(number, "piassa", 900));
  }
  for (const RosterNode& self : nodes(8)) {
    const ReaderRoster roster = rosterOf(self, all);
    for (const RosterNode& candidate : roster.candidates()) {
      STRCMP_EQUAL("bole", candidate.zone.c_str());
      CHECK_TRUE(candidate.name != self.name);
    }
  }
}

/** A node whose own entry is missing or outdated still ranks itself. */
TEST(ReaderRoster, NodeMissingFromTheListRanksItself) {
  auto others = nodes(6);
  others.erase(others.begin());
  const RosterNode self = node(1, "bole", 900);
  CHECK_TRUE(rosterOf(self, others).readsItself());
}

/**
 * The fallback step bounds the number of nodes that list the store at once, whatever the size of
 * the zone.
 */
TEST(ReaderRoster, NodesPerFallbackStepDouble) {
  const auto all = nodes(500);
  std::map<uint32_t, size_t> byStep;
  for (const RosterNode& self : all) {
    const ReaderRoster roster = rosterOf(self, all);
    byStep[roster.fallbackStep()] += roster.readsItself() ? 0 : 1;
  }
  constexpr size_t kReaders = 16;
  LONGS_EQUAL(5, byStep.size());
  for (uint32_t step = 0; step < 4; ++step) {
    LONGS_EQUAL(kReaders << step, byStep[step]);
  }
}

TEST(ReaderRoster, ReaderReturnsHigherRankedReaders) {
  const auto all = nodes(100);
  std::set<size_t> counts;
  for (const RosterNode& self : all) {
    const ReaderRoster roster = rosterOf(self, all);
    if (roster.readsItself()) {
      CHECK_TRUE(roster.candidates().empty());
      counts.insert(roster.higherRankedReaders().size());
    } else {
      CHECK_TRUE(roster.higherRankedReaders().empty());
    }
  }
  CHECK_TRUE(counts == (std::set<size_t>{0, 1, 2, 3}));
}
