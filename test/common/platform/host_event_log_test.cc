/** @file What a reader can tell of the changes after a version. */
#include "common/platform/host_event_log.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

HostEvent event(uint64_t version) {
  HostEvent made;
  made.host.name = "i-" + std::to_string(version);
  made.version = version;
  return made;
}

}  // namespace

TEST_GROUP(HostEventLog){};

TEST(HostEventLog, GivesTheEventsAfterAVersion) {
  HostEventLog log;
  log.beginAt(10);
  for (const uint64_t version : {11, 12, 15}) {
    log.add(event(version));
  }
  CHECK_EQUAL(3U, log.since(10)->size());
  CHECK_EQUAL(1U, log.since(12)->size());
  CHECK_TRUE(log.since(15)->empty());
}

TEST(HostEventLog, SaysSoWhereItReachesNotFarEnoughBack) {
  HostEventLog log(2);
  CHECK_FALSE(log.since(0).has_value());
  log.beginAt(10);
  CHECK_FALSE(log.since(9).has_value());
  for (const uint64_t version : {11, 12, 13}) {
    log.add(event(version));
  }
  CHECK_FALSE(log.since(10).has_value());
  CHECK_EQUAL(2U, log.since(11)->size());
}

/** A whole list of an older version than the log's: what came after it must not be missed. */
TEST(HostEventLog, NeverBeginsBeforeWhatItHasTold) {
  HostEventLog log;
  log.beginAt(10);
  log.add(event(15));
  log.beginAt(12);
  CHECK_FALSE(log.since(12).has_value());
  CHECK_TRUE(log.since(15)->empty());
  log.beginAt(11);
  CHECK_FALSE(log.since(14).has_value());
}

/** A store that forgets its history makes its readers list: their followers need the difference,
 * not everything. */
TEST(HostEventLog, AListLeavesThoseWhoWereAsFarAsTheListerWithADifference) {
  HostEventLog log;
  log.beginAt(10);
  log.add(event(11));
  log.add(event(17));
  log.onSkipped(12, 20);
  log.add(event(21));
  CHECK_EQUAL(3U, log.since(10)->size());
  CHECK_EQUAL(2U, log.since(12)->size());
  CHECK_EQUAL(1U, log.since(20)->size());
}

/** It may know of a host that came and went, which no list shows. */
TEST(HostEventLog, WhoIsWithinAGapNeedsEverything) {
  HostEventLog log;
  log.beginAt(10);
  log.onSkipped(12, 20);
  for (uint64_t version = 13; version < 20; ++version) {
    CHECK_FALSE(log.reaches(version));
  }
}

TEST(HostEventLog, AListOfWhoKnewNothingIsABeginning) {
  HostEventLog log;
  log.onSkipped(0, 20);
  CHECK_FALSE(log.reaches(0));
  CHECK_TRUE(log.reaches(20));
}

/** Who was told the outcome alone can't tell more to others. */
TEST(HostEventLog, AGapIsPassedOnWithTheEvents) {
  HostEventLog lister;
  lister.beginAt(10);
  lister.onSkipped(12, 20);
  LONGS_EQUAL(1, lister.gapsAfter(12).size());
  LONGS_EQUAL(0, lister.gapsAfter(20).size());
  HostEventLog follower;
  follower.beginAt(11);
  for (const VersionGap& gap : lister.gapsAfter(11)) {
    follower.addGap(gap);
    follower.addGap(gap);
  }
  CHECK_TRUE(follower.reaches(12));
  CHECK_FALSE(follower.reaches(13));
  LONGS_EQUAL(1, follower.gapsAfter(0).size());
}

TEST(HostEventLog, KeepsFewGaps) {
  constexpr uint64_t kMany = 100;
  HostEventLog log;
  log.beginAt(0);
  for (uint64_t gap = 0; gap < kMany; ++gap) {
    log.onSkipped(gap * 10 + 5, gap * 10 + 10);
  }
  CHECK_FALSE(log.reaches(0));
  CHECK_TRUE(log.reaches(kMany * 10 - 10));
  CHECK_FALSE(log.reaches(kMany * 10 - 3));
}
