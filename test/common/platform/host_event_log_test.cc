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
