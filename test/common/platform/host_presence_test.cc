/** @file Which hosts take new flows while registrations come, vanish and return. */
#include "common/platform/host_presence.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(HostPresence) {
  HostPresenceOptions options;
  HostPresence presence{options};
  TimePoint now{seconds(100)};
  uint64_t version = 0;
  std::map<std::string, HostPool> pools;

  static std::string nameOf(int index) {
    return "i-" + std::to_string(100 + index);
  }

  HostRegistration registration(int index, HostState state = HostState::kActive) {
    HostRegistration made;
    made.pool = "dispatch";
    made.host.name = nameOf(index);
    made.host.state = state;
    made.version = ++version;
    made.madeAt = made.version;
    made.host.endpoint = {0x0A000000U + static_cast<uint32_t>(index), 80};
    return made;
  }
  void registerHosts(int count) {
    for (int index = 0; index < count; ++index) {
      presence.onRegistered(registration(index));
    }
    settle();
  }
  void remove(int index) {
    presence.onRemoved(now, nameOf(index), ++version);
  }
  void settle() {
    for (HostPool& pool : presence.settle(now)) {
      pools[pool.name] = pool;
    }
  }
  int count(HostState state) {
    int found = 0;
    for (const HostSpec& host : pools["dispatch"].hosts) {
      found += host.state == state ? 1 : 0;
    }
    return found;
  }
  int active() {
    return count(HostState::kActive);
  }
  int draining() {
    return count(HostState::kDraining);
  }
};

TEST(HostPresence, AHostThatVanishesAloneDrainsAtOnceAndIsForgottenAfterItsLastFlow) {
  registerHosts(14);
  remove(3);
  settle();
  LONGS_EQUAL(13, active());
  LONGS_EQUAL(1, draining());
  CHECK_TRUE(presence.nextChange() == now + options.retention);
  now += options.retention;
  settle();
  LONGS_EQUAL(13, active());
  LONGS_EQUAL(0, draining());
  CHECK_FALSE(presence.nextChange().has_value());
}

TEST(HostPresence, AHostThatSaysSoDrainsAtOnce) {
  registerHosts(4);
  presence.onRegistered(registration(2, HostState::kDraining));
  settle();
  LONGS_EQUAL(3, active());
}

TEST(HostPresence, ALargePartThatVanishesAtOnceStaysActiveForTheGrace) {
  registerHosts(14);
  for (int index = 0; index < 7; ++index) {
    remove(index);
  }
  settle();
  LONGS_EQUAL(14, active());
  CHECK_TRUE(presence.nextChange() == now + options.vanishedGrace);
  now += options.vanishedGrace;
  settle();
  LONGS_EQUAL(7, active());
  LONGS_EQUAL(7, draining());
}

/** Guards against flows on leaving hosts: a grace from late news on outlasts the bound of the
 * drain. */
TEST(HostPresence, TheGraceCountsFromTheEndAndNotFromLateNewsOfIt) {
  registerHosts(4);
  const TimePoint lastPresentAt = now;
  now += milliseconds(1500);
  presence.onRemoved(now, nameOf(0), ++version, lastPresentAt);
  presence.onRemoved(now, nameOf(1), ++version, lastPresentAt);
  settle();
  LONGS_EQUAL(4, active());
  CHECK_TRUE(presence.nextChange() == lastPresentAt + options.vanishedGrace);
  now = lastPresentAt + options.vanishedGrace;
  settle();
  LONGS_EQUAL(2, active());
}

TEST(HostPresence, NewsThatAreLaterThanTheGraceTakeAHostOutOfUseAtOnce) {
  registerHosts(4);
  const TimePoint lastPresentAt = now;
  now += seconds(3);
  presence.onRemoved(now, nameOf(0), ++version, lastPresentAt);
  presence.onRemoved(now, nameOf(1), ++version, lastPresentAt);
  settle();
  LONGS_EQUAL(2, active());
}

TEST(HostPresence, HostsThatVanishOneByOneCountAsALargePartTogether) {
  registerHosts(4);
  remove(0);
  settle();
  LONGS_EQUAL(3, active());
  now += milliseconds(500);
  remove(1);
  settle();
  LONGS_EQUAL(4, active());
}

TEST(HostPresence, ALargePartThatSaidItLeavesDoesNotComeBackByVanishing) {
  registerHosts(4);
  presence.onRegistered(registration(0, HostState::kDraining));
  presence.onRegistered(registration(1, HostState::kDraining));
  remove(0);
  remove(1);
  settle();
  LONGS_EQUAL(2, active());
}

TEST(HostPresence, AHostThatVanishesInAnOutagesAftermathStaysActiveForTheGrace) {
  registerHosts(14);
  presence.onOutage();
  now += seconds(5);
  presence.onRecovered(now);
  const TimePoint recovered = now;
  remove(0);
  settle();
  LONGS_EQUAL(14, active());
  CHECK_TRUE(presence.nextChange() == recovered + options.outageGrace);
  now = recovered + options.outageGrace;
  settle();
  LONGS_EQUAL(13, active());
  now = recovered + options.postOutageWindow + milliseconds(1);
  remove(1);
  settle();
  LONGS_EQUAL(12, active());
}

TEST(HostPresence, AHostThatRegistersAnewWithinTheGraceNeverStopped) {
  registerHosts(4);
  presence.onOutage();
  presence.onRecovered(now);
  for (int index = 0; index < 4; ++index) {
    remove(index);
  }
  settle();
  now += seconds(1);
  registerHosts(4);
  now += seconds(10);
  settle();
  LONGS_EQUAL(4, active());
  CHECK_FALSE(presence.nextChange().has_value());
}

TEST(HostPresence, OldNewsTakeNothingBack) {
  registerHosts(4);
  HostRegistration old = registration(0);
  presence.onRegistered(registration(0, HostState::kDraining));
  presence.onRegistered(old);
  presence.onRemoved(now, nameOf(1), 1);
  settle();
  LONGS_EQUAL(3, active());
  CHECK_TRUE(pools["dispatch"].hosts[0].state == HostState::kDraining);
}

TEST(HostPresence, AListEndsWhatItLacksButNotWhatIsNewer) {
  registerHosts(6);
  const uint64_t listed = version;
  presence.onRegistered(registration(6));
  std::set<std::string> names;
  for (int index = 0; index < 5; ++index) {
    names.insert(nameOf(index));
  }
  presence.onListed(now, listed, names);
  settle();
  LONGS_EQUAL(6, active());
  LONGS_EQUAL(1, draining());
}

TEST(HostPresence, OfTwoHostsWithOneEndpointOnlyTheLaterRegisteredIsThere) {
  HostRegistration crashed = registration(9);
  HostRegistration successor = registration(1);
  successor.host.endpoint = crashed.host.endpoint;
  successor.pool = "mapstore";
  // In the order of a list: by name, whatever came first.
  presence.onRegistered(successor);
  presence.onRegistered(crashed);
  settle();
  LONGS_EQUAL(0, pools["dispatch"].hosts.size());
  LONGS_EQUAL(1, pools["mapstore"].hosts.size());
  presence.onRegistered(registration(2));
  settle();
  LONGS_EQUAL(1, pools["dispatch"].hosts.size());
  LONGS_EQUAL(1, pools["mapstore"].hosts.size());
}

TEST(HostPresence, ALateWriteOfAnEarlierLifeDoesNotBringItBack) {
  HostRegistration first = registration(1, HostState::kDraining);
  first.host.bornMilliseconds = 1000;
  presence.onRegistered(first);
  HostRegistration second = registration(1);
  second.host.bornMilliseconds = 2000;
  CHECK_TRUE(presence.onRegistered(second));
  settle();
  LONGS_EQUAL(1, active());
  first.version = ++version;
  CHECK_FALSE(presence.onRegistered(first));
  settle();
  LONGS_EQUAL(1, active());
  CHECK_TRUE(pools["dispatch"].hosts[0].bornMilliseconds == 2000);
  remove(1);
  first.version = ++version;
  CHECK_FALSE(presence.onRegistered(first));
  settle();
  LONGS_EQUAL(0, active());
}

TEST(HostPresence, AnEntryWithoutABirthKeepsTheKnownOne) {
  HostRegistration told = registration(1);
  told.host.bornMilliseconds = 1000;
  presence.onRegistered(told);
  CHECK_TRUE(presence.onRegistered(registration(1, HostState::kDraining)));
  settle();
  LONGS_EQUAL(1, draining());
  CHECK_TRUE(pools["dispatch"].hosts[0].bornMilliseconds == 1000);
}

TEST(HostPresence, OfTwoHostsAtOneEndpointTheLaterBornLivesThoughItsEntryIsOlder) {
  HostRegistration returned = registration(1);
  returned.host.bornMilliseconds = 3000;
  HostRegistration between = registration(2);
  between.host.endpoint = returned.host.endpoint;
  between.host.bornMilliseconds = 2000;
  presence.onRegistered(between);
  presence.onRegistered(returned);
  settle();
  LONGS_EQUAL(1, active());
  STRCMP_EQUAL(nameOf(1).c_str(), pools["dispatch"].hosts[0].name.c_str());
}

TEST(HostPresence, AnEntryOfAPoolThatIsNotConfiguredEndsNobody) {
  presence.setConfiguredPools({"dispatch"});
  registerHosts(1);
  HostRegistration foreign = registration(2);
  foreign.pool = "nobody";
  foreign.host.endpoint = {0x0A000000U, 80};
  presence.onRegistered(foreign);
  settle();
  LONGS_EQUAL(1, active());
}
