/** @file Which changes after a version a reader can supply. */
#include "common/platform/host_event_log.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

HostEvent event(uint64_t version) {
  HostEvent result;
  result.host.name = "i-" + std::to_string(version);
  result.version = version;
  return result;
}

}  // namespace

TEST_GROUP(HostEventLog){};

TEST(HostEventLog, ReturnsTheEventsAfterAVersion) {
  HostEventLog log;
  log.beginAt(10);
  for (const uint64_t version : {11, 12, 15}) {
    log.add(event(version));
  }
  CHECK_EQUAL(3U, log.since(10)->size());
  CHECK_EQUAL(1U, log.since(12)->size());
  CHECK_TRUE(log.since(15)->empty());
}

TEST(HostEventLog, ReturnsNothingForVersionsBeforeItsStart) {
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

/**
 * A complete list may be older than the log: the events after the list's version must not be
 * missed.
 */
TEST(HostEventLog, NeverStartsBeforeItsLastEvent) {
  HostEventLog log;
  log.beginAt(10);
  log.add(event(15));
  log.beginAt(12);
  CHECK_FALSE(log.since(12).has_value());
  CHECK_TRUE(log.since(15)->empty());
  log.beginAt(11);
  CHECK_FALSE(log.since(14).has_value());
}

/**
 * A store that loses its history makes its readers list: their followers need a delta, not a full
 * copy.
 */
TEST(HostEventLog, APeerAtTheListersVersionGetsADelta) {
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

/** Such a peer may hold a host that was added and removed in between, which no list shows. */
TEST(HostEventLog, APeerWithinAGapNeedsAFullCopy) {
  HostEventLog log;
  log.beginAt(10);
  log.onSkipped(12, 20);
  for (uint64_t version = 13; version < 20; ++version) {
    CHECK_FALSE(log.reaches(version));
  }
}

TEST(HostEventLog, StartsAtAListWithoutEarlierState) {
  HostEventLog log;
  log.onSkipped(0, 20);
  CHECK_FALSE(log.reaches(0));
  CHECK_TRUE(log.reaches(20));
}

/** A node that received only the net result cannot supply the single changes to others. */
TEST(HostEventLog, PassesGapsOnWithTheEvents) {
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

TEST(HostEventLog, BoundsTheNumberOfGaps) {
  constexpr uint64_t kGapCount = 100;
  HostEventLog log;
  log.beginAt(0);
  for (uint64_t gap = 0; gap < kGapCount; ++gap) {
    log.onSkipped(gap * 10 + 5, gap * 10 + 10);
  }
  CHECK_FALSE(log.reaches(0));
  CHECK_TRUE(log.reaches(kGapCount * 10 - 10));
  CHECK_FALSE(log.reaches(kGapCount * 10 - 3));
}
