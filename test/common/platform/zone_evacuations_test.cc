/** @file Which zones are evacuated when updates arrive out of order. */
#include "common/platform/zone_evacuations.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

TEST_GROUP(ZoneEvacuations) {
  ZoneEvacuations evacuations;

  bool isEvacuated(const std::string& zone) {
    return evacuations.evacuated().zones.contains(zone);
  }
};

TEST(ZoneEvacuations, StartsEndsAndStartsAgain) {
  CHECK_FALSE(evacuations.takeChange());
  evacuations.onStarted("bole", 10);
  CHECK_TRUE(evacuations.takeChange());
  CHECK_TRUE(isEvacuated("bole"));
  CHECK_FALSE(isEvacuated("piassa"));
  evacuations.onEnded("bole", 12);
  CHECK_FALSE(isEvacuated("bole"));
  evacuations.onStarted("bole", 15);
  CHECK_TRUE(isEvacuated("bole"));
  CHECK_TRUE(evacuations.takeChange());
  CHECK_FALSE(evacuations.takeChange());
}

TEST(ZoneEvacuations, OlderUpdatesAreIgnored) {
  evacuations.onEnded("bole", 20);
  evacuations.onStarted("bole", 10);
  CHECK_FALSE(isEvacuated("bole"));
  evacuations.onStarted("piassa", 20);
  evacuations.onEnded("piassa", 10);
  CHECK_TRUE(isEvacuated("piassa"));
}

TEST(ZoneEvacuations, SnapshotEndsMissingZonesExceptNewerOnes) {
  evacuations.onStarted("bole", 10);
  evacuations.onStarted("merkato", 40);
  evacuations.onSnapshot({{"piassa"}}, 30);
  CHECK_FALSE(isEvacuated("bole"));
  CHECK_TRUE(isEvacuated("piassa"));
  CHECK_TRUE(isEvacuated("merkato"));
}

/** A node whose list lacks a zone must not accept an older state from a peer that is behind. */
TEST(ZoneEvacuations, SnapshotOlderThanTheKnownStateIsIgnored) {
  evacuations.onKnownUpTo(35);
  evacuations.onSnapshot({{"bole"}}, 30);
  CHECK_FALSE(isEvacuated("bole"));
  evacuations.onSnapshot({{"bole"}}, 40);
  CHECK_TRUE(isEvacuated("bole"));
}

/** The events of one watch arrive in order, all with the version of the answer. */
TEST(ZoneEvacuations, LastUpdateOfAVersionApplies) {
  evacuations.onSnapshot({{"bole"}}, 40);
  evacuations.onEnded("bole", 50);
  evacuations.onStarted("bole", 50);
  CHECK_TRUE(isEvacuated("bole"));
  evacuations.onStarted("piassa", 60);
  evacuations.onEnded("piassa", 60);
  CHECK_FALSE(isEvacuated("piassa"));
}

TEST(ZoneEvacuations, EndWithTheVersionOfItsStartIsApplied) {
  // A store may report a deleted object with the version of its last change.
  evacuations.onStarted("bole", 10);
  evacuations.onEnded("bole", 10);
  CHECK_FALSE(isEvacuated("bole"));
}
