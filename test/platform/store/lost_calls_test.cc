/** @file Tests calls that the store takes and never answers, while it answers others. */
#include <thread>

#include "platform/edge_store_options.h"
#include "test/platform/store/adapter_fixture.h"

using namespace umberhold;
using namespace umberhold::platform;
using namespace umberhold::platform::test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(LostCalls, AdapterFixture){};

/**
 * A watch issued while the store lost its history never received another event, while the watch of
 * the other kind got the error that the history is gone.
 */
TEST(LostCalls, ALostHistoryRenewsTheWatchesOfBothKinds) {
  startWithLongWatches();
  // Since an outage, the watch for configurations has had no event to return.
  setResponseMode(test::StoreResponseMode::kReset);
  CHECK_TRUE(follow([this] { return adapter->status().failures >= 2; }));
  setResponseMode(test::StoreResponseMode::kAnswering);
  setHost(6);
  CHECK_TRUE(followToActive(6));
  std::this_thread::sleep_for(milliseconds(300));
  store->objects().muteWatches("config");
  store->objects().set("config", "main", configuration(5, "s-one", 3));
  store->objects().forgetHistory();
  CHECK_TRUE(follow([this] { return services.size() == 3; }));
}

/**
 * The store closed both watches and then dropped its history. Watches issued in between were
 * accepted and never received another event. This occurred in a day experiment with 295 nodes.
 */
TEST(LostCalls, RenewsAWatchThatFollowsAFailedOne) {
  startWithLongWatches();
  std::this_thread::sleep_for(milliseconds(300));  // Both watches are pending.
  setResponseMode(test::StoreResponseMode::kReset);
  store->objects().endWatches();
  CHECK_TRUE(follow([this] { return adapter->status().failures >= 2; }));
  setResponseMode(test::StoreResponseMode::kAnswering);
  const uint64_t watches = store->calls().watches;
  CHECK_TRUE(follow([&] { return store->calls().watches >= watches + 2; }));
  std::this_thread::sleep_for(milliseconds(50));
  store->objects().muteWatches("config");
  store->objects().muteWatches("servers");
  store->objects().set("config", "main", configuration(5, "s-one", 3));
  store->objects().forgetHistory();
  CHECK_TRUE(follow([this] { return services.size() == 3; }));
}

/** Guards against outdated configurations and hosts: a store that answers lost the watch alone. */
TEST(LostCalls, RenewsAWatchThatMissesAChange) {
  livenessInterval = milliseconds(100);
  maxKnowledgeAge = seconds(1);
  storeConfigurationAndHosts(4);
  start();
  setHost(5);
  CHECK_TRUE(followToActive(5));
  store->objects().freezeStaleReads();
  std::this_thread::sleep_for(milliseconds(300));  // Both watches are pending.
  for (const char* kind : {"servers", "config"}) {
    store->objects().muteWatches(kind);
  }
  const uint64_t watches = store->calls().watches;
  setHost(1, "draining");
  CHECK_TRUE(follow([this] { return activeHosts() == 4; }, seconds(2)));
  store->objects().set("config", "main", configuration(5, "s-one", 3));
  CHECK_TRUE(follow([this] { return services.size() == 3; }, seconds(2)));
  // Each kind: two calls for the lost watch and the change, and one a second.
  CHECK_TRUE(store->calls().watches <= watches + 2 * (2 + 4));
}

/** A watch that the store received in a silence that no probe met. */
TEST(LostCalls, RenewsAWatchThatAShortSilenceSwallowed) {
  livenessInterval = milliseconds(700);
  changeBatchDelay = milliseconds(200);
  answerLimit = seconds(30);
  maxKnowledgeAge = seconds(1);
  store->objects().setStaleLag(seconds(60));
  storeConfigurationAndHosts(4);
  start();
  for (int round = 0; round < 3; ++round) {
    setHost(5 + round);
    CHECK_TRUE(followToActive(5 + round));
    test::StandinFaults faults;
    faults.responseMode = test::StoreResponseMode::kSilent;
    faults.staysSilent = true;
    store->setFaults(faults);
    std::this_thread::sleep_for(milliseconds(300));  // The next watch is sent within.
    store->setFaults({});
    setHost(1, round % 2 == 0 ? "draining" : "ready");
    const size_t expected = 5 + round - (round % 2 == 0 ? 1 : 0);
    CHECK_TRUE(follow([&] { return activeHosts() == expected; }, seconds(3)));
    setHost(1);
    CHECK_TRUE(followToActive(5 + round));
  }
}

/** Guards against changes missed on connections that go silent for good while new ones work. */
TEST(LostCalls, ReplacesConnectionsThatGoSilentForGood) {
  livenessInterval = milliseconds(700);
  answerLimit = seconds(30);
  maxKnowledgeAge = seconds(1);
  storeConfigurationAndHosts(4);
  store->objects().setStaleLag(seconds(60));
  start();
  uint64_t version = 3;
  for (int round = 0; round < 3; ++round) {
    std::this_thread::sleep_for(milliseconds(200 * (round + 1)));
    test::StandinFaults faults;
    faults.responseMode = test::StoreResponseMode::kSilent;
    faults.staysSilent = true;
    store->setFaults(faults);
    store->objects().endWatches();
    std::this_thread::sleep_for(milliseconds(20));  // The pending watches have ended by now.
    store->setFaults({});
    setHost(1, round % 2 == 0 ? "draining" : "ready");
    store->objects().set("config", "main", configuration(++version, "s-one", round + 2));
    const size_t hosts = round % 2 == 0 ? 3 : 4;
    const size_t routes = round + 2;
    CHECK_TRUE(
        follow([&] { return activeHosts() == hosts && services.size() == routes; }, seconds(2)));
  }
  LONGS_EQUAL(0, store->calls().watchChecks);  // No stale answer stands in for a watch.
}

/** Guards against a configuration missed where one watch is lost and the history goes early. */
TEST(LostCalls, ListsAfterALostWatchWhoseHistoryIsGone) {
  livenessInterval = milliseconds(700);
  maxKnowledgeAge = seconds(1);
  storeConfigurationAndHosts(4);
  start();
  store->objects().freezeStaleReads();
  std::this_thread::sleep_for(milliseconds(300));  // Both watches are pending.
  store->objects().muteWatches("config");
  store->objects().set("config", "main", configuration(5, "s-one", 3));
  store->objects().forgetHistory();
  CHECK_TRUE(follow([this] { return services.size() == 3; }, seconds(2)));
}

TEST(LostCalls, AWatchThatAnswersIsNotRenewed) {
  livenessInterval = milliseconds(20);
  maxKnowledgeAge = seconds(60);
  storeConfigurationAndHosts(4);
  start();
  const uint64_t connections = store->calls().connections;
  for (int round = 0; round < 40; ++round) {
    setHost(1, round % 2 == 0 ? "draining" : "ready");
    CHECK_TRUE(followToActive(round % 2 == 0 ? 3 : 4));
  }
  CHECK_TRUE(store->calls().reads > 5);                       // Probes.
  CHECK_TRUE(store->calls().connections <= connections + 1);  // One for the probes.
}

/** Only probes can detect this: connections stay open, and a watch has a timeout of one minute. */
TEST(LostCalls, ReissuesWatchesThatAnUnresponsiveStoreNeverAnswers) {
  livenessInterval = milliseconds(50);
  maxKnowledgeAge = seconds(60);
  storeConfigurationAndHosts(4);
  start();
  test::StandinFaults faults;
  faults.responseMode = test::StoreResponseMode::kSilent;
  faults.staysSilent = true;
  store->setFaults(faults);
  setHost(4, "draining");
  store->objects().set("config", "main", configuration(4, "s-one", 2));
  CHECK_TRUE(follow([this] { return adapter->status().failing; }));
  LONGS_EQUAL(4, activeHosts());
  store->setFaults({});
  CHECK_TRUE(follow([this] { return activeHosts() == 3 && services.size() == 2; }));
  CHECK_FALSE(adapter->status().failing);
  LONGS_EQUAL(0, adapter->status().failures);
}

/** Guards against flows on hosts that left while this node alone was cut off from the store. */
TEST(LostCalls, AHostThatLeftInAnOwnOutageGetsNoFlowOnceTheBoundsApplyAgain) {
  const TokenNodeSettings settings;
  ObjectStoreOptions deployed = makeStoreOptions(settings, nullptr);
  deployed.address = store->address();
  storeConfigurationAndHosts(8);
  adapter = std::make_unique<ObjectStoreAdapter>(deployed);
  awaitList();
  test::StandinFaults faults;
  faults.responseMode = test::StoreResponseMode::kSilent;
  faults.staysSilent = true;
  store->setFaults(faults);
  std::this_thread::sleep_for(milliseconds(500));
  store->objects().remove("servers", "i-1", 0);
  // The store returns just after it has lost a late probe, which is the worst moment.
  constexpr uint64_t kLostProbes = 4;
  const uint64_t probes = store->calls().reads;
  CHECK_TRUE(follow([&] { return store->calls().reads >= probes + kLostProbes; }, seconds(20)));
  store->setFaults({});
  const TimePoint restoredAt = steadyNow();
  CHECK_TRUE(follow([this] { return activeHosts() == 7; }, seconds(20)));
  CHECK_TRUE(steadyNow() - restoredAt < milliseconds(settings.disturbanceGraceMilliseconds));
}

/**
 * The connection stays open without data: without a probe, the list would wait for its full
 * timeout.
 */
TEST(LostCalls, ReissuesAFirstListThatAnUnresponsiveStoreNeverAnswers) {
  livenessInterval = milliseconds(50);
  CHECK_TRUE(timeToStartAfterOutage(milliseconds(700)) < seconds(2));
}

/**
 * The probes before and after the outage are answered; only the waiting time shows that the list is
 * lost.
 */
TEST(LostCalls, ReissuesAFirstListLostBetweenTwoAnsweredProbes) {
  livenessInterval = milliseconds(700);
  CHECK_TRUE(timeToStartAfterOutage(milliseconds(200)) < seconds(5));
}
