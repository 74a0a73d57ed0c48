/** @file Which hosts receive new flows while registrations appear, vanish and return. */
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
    HostRegistration result;
    result.pool = "dispatch";
    result.host.name = nameOf(index);
    result.host.state = state;
    result.version = ++version;
    result.madeAt = result.version;
    result.host.endpoint = {0x0A000000U + static_cast<uint32_t>(index), 80};
    return result;
  }
  void registerHosts(int count) {
    for (int index = 0; index < count; ++index) {
      presence.onRegistered(registration(index));
    }
    settle();
  }
  /** Registers hosts 0 and 1, then host 7 with the endpoint of host 0. */
  void registerHostsAndSuccessor() {
    registerHosts(2);
    HostRegistration successor = registration(7);
    successor.host.endpoint = registration(0).host.endpoint;
    presence.onRegistered(successor);
  }
  void remove(int index) {
    presence.onRemoved(now, nameOf(index), ++version, now);
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

TEST(HostPresence, SingleVanishedHostDrainsAndIsDroppedAfterRetention) {
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

TEST(HostPresence, HostRegisteredAsDrainingDrainsImmediately) {
  registerHosts(4);
  presence.onRegistered(registration(2, HostState::kDraining));
  settle();
  LONGS_EQUAL(3, active());
}

TEST(HostPresence, MassRemovalKeepsHostsActiveForTheGracePeriod) {
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

/**
 * Guards against flows on leaving hosts: a grace period that starts with a delayed report would
 * exceed the bound of the drain.
 */
TEST(HostPresence, GracePeriodStartsAtTheEndOfTheRegistrationNotAtALateReport) {
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

TEST(HostPresence, RemovalReportedAfterTheGracePeriodDrainsImmediately) {
  registerHosts(4);
  const TimePoint lastPresentAt = now;
  now += seconds(3);
  presence.onRemoved(now, nameOf(0), ++version, lastPresentAt);
  presence.onRemoved(now, nameOf(1), ++version, lastPresentAt);
  settle();
  LONGS_EQUAL(2, active());
}

TEST(HostPresence, SuccessiveRemovalsCountAsOneMassRemoval) {
  registerHosts(4);
  remove(0);
  settle();
  LONGS_EQUAL(3, active());
  now += milliseconds(500);
  remove(1);
  settle();
  LONGS_EQUAL(4, active());
}

TEST(HostPresence, DrainingHostsDoNotBecomeActiveByVanishing) {
  registerHosts(4);
  presence.onRegistered(registration(0, HostState::kDraining));
  presence.onRegistered(registration(1, HostState::kDraining));
  remove(0);
  remove(1);
  settle();
  LONGS_EQUAL(2, active());
}

TEST(HostPresence, HostThatVanishesAfterAnOutageStaysActiveForTheGracePeriod) {
  registerHosts(14);
  presence.onOutage(now);
  now += seconds(5);
  presence.onOutage(now);
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

/** Guards against flows on hosts that left while this node alone was cut off from the store. */
TEST(HostPresence, NoGraceOutlastsTheLimitSinceTheStoreWasLastOutOfReach) {
  registerHosts(14);
  const TimePoint lostAt = now;
  presence.onOutage(lostAt);
  now += options.outageLimit - options.outageGrace + milliseconds(500);
  presence.onReachable(now);
  presence.onRecovered(now);
  presence.onRemoved(now, nameOf(0), ++version, lostAt);
  settle();
  LONGS_EQUAL(14, active());
  CHECK_TRUE(presence.nextChange() == lostAt + options.outageLimit);
  now = lostAt + options.outageLimit;
  settle();
  LONGS_EQUAL(13, active());
}

TEST(HostPresence, TheGraceAfterAnOutageCountsFromTheFirstAnswerOfAnyKind) {
  registerHosts(14);
  presence.onOutage(now);
  presence.onReachable(now);
  const TimePoint reachableAt = now;
  now += milliseconds(900);
  presence.onReachable(now);
  presence.onRecovered(now);
  presence.onRemoved(now, nameOf(0), ++version, reachableAt);
  settle();
  LONGS_EQUAL(14, active());
  CHECK_TRUE(presence.nextChange() == reachableAt + options.outageGrace);
}

TEST(HostPresence, AStoreThatIsLostAgainRestartsTheGracePeriod) {
  registerHosts(14);
  presence.onOutage(now);
  presence.onReachable(now);
  now += seconds(1);
  presence.onOutage(now);
  now += milliseconds(100);
  presence.onRecovered(now);
  remove(0);
  settle();
  CHECK_TRUE(presence.nextChange() == now + options.outageGrace);
}

/** Guards against flows on hosts that left long ago, each time that the store is lost. */
TEST(HostPresence, AHostThatLeftInAnEarlierOutageIsNotUsedAfterALaterOne) {
  registerHosts(14);
  presence.onOutage(now);
  presence.onRecovered(now);
  remove(0);
  settle();
  now += seconds(10);
  settle();
  LONGS_EQUAL(13, active());
  presence.onOutage(now);
  settle();
  LONGS_EQUAL(13, active());
  presence.onRecovered(now);
  settle();
  LONGS_EQUAL(13, active());
}

TEST(HostPresence, HostsOfAnOutageKeepTheirGraceIfTheStoreIsLostAgain) {
  registerHosts(4);
  presence.onOutage(now);
  presence.onRecovered(now);
  for (int index = 0; index < 4; ++index) {
    remove(index);
  }
  now += seconds(1);
  presence.onOutage(now);
  now += seconds(3);
  settle();
  LONGS_EQUAL(4, active());
  presence.onOutage(now);
  presence.onRecovered(now);
  now += seconds(2);
  settle();
  LONGS_EQUAL(4, active());
}

/** Guards against refusals while the store is away and the last hosts seem to be gone. */
TEST(HostPresence, HostsThatVanishInAnOutageStayActiveWhileItLasts) {
  registerHosts(4);
  presence.onOutage(now);
  const TimePoint lostAt = now;
  now += seconds(3);
  for (int index = 0; index < 4; ++index) {
    presence.onRemoved(now, nameOf(index), ++version, lostAt);
  }
  settle();
  LONGS_EQUAL(4, active());
  CHECK_TRUE(presence.nextChange() == lostAt + options.outageLimit);
}

/** Guards against flows on hosts that left while only this node's reader was cut off. */
TEST(HostPresence, AnOutageOfTheSourceExtendsNoGraceBeyondTheAbsenceLimit) {
  registerHosts(14);
  const TimePoint lastPresentAt = now;
  now += seconds(2);
  presence.onOutageOfSource(now - milliseconds(100));
  presence.onRemoved(now, nameOf(0), ++version, lastPresentAt);
  presence.onRemoved(now, nameOf(1), ++version, now);
  settle();
  LONGS_EQUAL(14, active());
  CHECK_TRUE(presence.nextChange() == lastPresentAt + options.absenceLimit);
  now = lastPresentAt + options.absenceLimit;
  settle();
  LONGS_EQUAL(13, active());
  CHECK_TRUE(presence.nextChange() ==
             lastPresentAt + seconds(2) - milliseconds(100) + options.outageGrace);
}

TEST(HostPresence, HostThatRegistersAgainWithinTheGracePeriodStaysActive) {
  registerHosts(4);
  presence.onOutage(now);
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

TEST(HostPresence, OlderVersionsAreIgnored) {
  registerHosts(4);
  HostRegistration olderVersion = registration(0);
  presence.onRegistered(registration(0, HostState::kDraining));
  presence.onRegistered(olderVersion);
  presence.onRemoved(now, nameOf(1), 1, now);
  settle();
  LONGS_EQUAL(3, active());
  CHECK_TRUE(pools["dispatch"].hosts[0].state == HostState::kDraining);
}

TEST(HostPresence, ListEndsMissingRegistrationsExceptNewerOnes) {
  registerHosts(6);
  const uint64_t listVersion = version;
  presence.onRegistered(registration(6));
  std::set<std::string> names;
  for (int index = 0; index < 5; ++index) {
    names.insert(nameOf(index));
  }
  presence.onListed(now, listVersion, names, now);
  settle();
  LONGS_EQUAL(6, active());
  LONGS_EQUAL(1, draining());
}

TEST(HostPresence, LaterRegisteredHostSupersedesItsEndpointsPreviousHost) {
  HostRegistration crashed = registration(9);
  HostRegistration successor = registration(1);
  successor.host.endpoint = crashed.host.endpoint;
  successor.pool = "mapstore";
  // In the order of a list: by name, regardless of the order of registration.
  presence.onRegistered(successor);
  presence.onRegistered(crashed);
  settle();
  LONGS_EQUAL(0, active());
  // Its flows are not known to have ended while its registration exists.
  LONGS_EQUAL(1, draining());
  LONGS_EQUAL(1, pools["mapstore"].hosts.size());
  presence.onRegistered(registration(2));
  settle();
  LONGS_EQUAL(1, active());
  LONGS_EQUAL(1, draining());
  LONGS_EQUAL(1, pools["mapstore"].hosts.size());
  remove(9);
  settle();
  LONGS_EQUAL(1, pools["dispatch"].hosts.size());
  LONGS_EQUAL(1, active());
  LONGS_EQUAL(1, pools["mapstore"].hosts.size());
}

/** Guards against a living host that gets no flow after another entry held its address. */
TEST(HostPresence, HostTakesFlowsAgainOnceTheSuccessorsRegistrationEnds) {
  registerHostsAndSuccessor();
  settle();
  LONGS_EQUAL(2, active());
  LONGS_EQUAL(1, draining());
  LONGS_EQUAL(1, presence.newlySuperseded().size());
  const SupersededHost expected{nameOf(0), nameOf(7), registration(0).host.endpoint};
  CHECK_TRUE(presence.newlySuperseded().front() == expected);
  LONGS_EQUAL(3, presence.registered().size());
  settle();
  LONGS_EQUAL(0, presence.newlySuperseded().size());
  remove(7);
  settle();
  LONGS_EQUAL(2, active());
  STRCMP_EQUAL(nameOf(0).c_str(), pools["dispatch"].hosts[0].name.c_str());
  CHECK_TRUE(pools["dispatch"].hosts[0].state == HostState::kActive);
}

TEST(HostPresence, HostTakesFlowsAgainOnceTheSuccessorHasAnotherEndpoint) {
  registerHostsAndSuccessor();
  settle();
  LONGS_EQUAL(2, active());
  presence.onRegistered(registration(7));
  settle();
  LONGS_EQUAL(3, active());
}

TEST(HostPresence, SupersededHostThatVanishesInAnOutageHasNotEndedWithinTheGracePeriod) {
  registerHostsAndSuccessor();
  presence.onOutage(now);
  presence.onRecovered(now);
  remove(0);
  settle();
  LONGS_EQUAL(1, draining());
  now += options.outageGrace;
  CHECK_TRUE(presence.nextChange() == now);
  settle();
  LONGS_EQUAL(0, draining());
}

TEST(HostPresence, HostThatLeftBeforeItsSuccessorStaysSuperseded) {
  registerHostsAndSuccessor();
  remove(0);
  remove(7);
  settle();
  LONGS_EQUAL(1, active());
  LONGS_EQUAL(1, draining());
  STRCMP_EQUAL(nameOf(7).c_str(), pools["dispatch"].hosts[1].name.c_str());
}

TEST(HostPresence, DelayedWriteFromBeforeARestartIsIgnored) {
  HostRegistration first = registration(1, HostState::kDraining);
  first.host.startedAtMilliseconds = 1000;
  presence.onRegistered(first);
  HostRegistration second = registration(1);
  second.host.startedAtMilliseconds = 2000;
  CHECK_TRUE(presence.onRegistered(second));
  settle();
  LONGS_EQUAL(1, active());
  first.version = ++version;
  CHECK_FALSE(presence.onRegistered(first));
  settle();
  LONGS_EQUAL(1, active());
  CHECK_TRUE(pools["dispatch"].hosts[0].startedAtMilliseconds == 2000);
  remove(1);
  first.version = ++version;
  CHECK_FALSE(presence.onRegistered(first));
  settle();
  LONGS_EQUAL(0, active());
}

TEST(HostPresence, RegistrationWithoutStartTimeKeepsTheKnownOne) {
  HostRegistration withStartTime = registration(1);
  withStartTime.host.startedAtMilliseconds = 1000;
  presence.onRegistered(withStartTime);
  CHECK_TRUE(presence.onRegistered(registration(1, HostState::kDraining)));
  settle();
  LONGS_EQUAL(1, draining());
  CHECK_TRUE(pools["dispatch"].hosts[0].startedAtMilliseconds == 1000);
}

TEST(HostPresence, LaterStartedHostSupersedesANewerRegistrationOfItsEndpoint) {
  HostRegistration restarted = registration(1);
  restarted.host.startedAtMilliseconds = 3000;
  HostRegistration otherHost = registration(2);
  otherHost.host.endpoint = restarted.host.endpoint;
  otherHost.host.startedAtMilliseconds = 2000;
  presence.onRegistered(otherHost);
  presence.onRegistered(restarted);
  settle();
  LONGS_EQUAL(1, active());
  STRCMP_EQUAL(nameOf(1).c_str(), pools["dispatch"].hosts[0].name.c_str());
}

TEST(HostPresence, RegistrationInAnUnconfiguredPoolSupersedesNoHost) {
  presence.setConfiguredPools({"dispatch"});
  registerHosts(1);
  HostRegistration foreign = registration(2);
  foreign.pool = "nobody";
  foreign.host.endpoint = {0x0A000000U, 80};
  presence.onRegistered(foreign);
  settle();
  LONGS_EQUAL(1, active());
}
