/** @file Detection of zones whose hosts become silent together. */
#include "common/token/silent_zones.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(SilentZones) {
  SilentZones zones;
  TimePoint now{seconds(1000)};

  void unanswered(uint32_t host, const std::string& zone = "bole") {
    zones.onUnanswered(now, "dispatch", zone, host);
  }
  bool isSilent(const std::string& zone = "bole") {
    return zones.isSilent(now, "dispatch", zone);
  }
};

TEST(SilentZones, AreDetectedAfterThreeDistinctHosts) {
  unanswered(1);
  unanswered(1);
  unanswered(1);
  unanswered(2);
  CHECK_FALSE(isSilent());
  unanswered(3);
  CHECK_TRUE(isSilent());
  CHECK_FALSE(isSilent("piassa"));
  CHECK_FALSE(zones.isSilent(now, "mapstore", "bole"));
}

TEST(SilentZones, EndWithAnyAnswer) {
  unanswered(1);
  unanswered(2);
  zones.onAnswered("dispatch", "bole");
  unanswered(3);
  CHECK_FALSE(isSilent());
  unanswered(1);
  unanswered(2);
  CHECK_TRUE(isSilent());
  zones.onAnswered("dispatch", "bole");
  CHECK_FALSE(isSilent());
  CHECK_TRUE(zones.isEmpty());
}

TEST(SilentZones, AreRetriedWithIncreasingBackoff) {
  unanswered(1);
  unanswered(2);
  unanswered(3);
  now += milliseconds(500);
  CHECK_FALSE(isSilent());
  unanswered(4);
  now += milliseconds(999);
  CHECK_TRUE(isSilent());
  now += milliseconds(1);
  CHECK_FALSE(isSilent());
  for (int tries = 0; tries < 5; ++tries) {
    unanswered(5);
    now += seconds(2);
    CHECK_FALSE(isSilent());
  }
}

TEST(SilentZones, AreNotDetectedFromHostsSilentFarApart) {
  unanswered(1);
  now += milliseconds(1500);
  unanswered(2);
  now += milliseconds(1500);
  unanswered(3);
  CHECK_FALSE(isSilent());
}
