/** @file Tests the adapter against the stand-in store and its simulated faults. */
#include "platform/store/object_store_adapter.h"

#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "common/platform/steady_now.h"
#include "common/wire/codec.h"
#include "common/wire/payload_compression.h"
#include "platform/store/peer_request.h"
#include "platform/store/store_messages.h"
#include "test/platform/store/standin_store.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string configuration(uint64_t version, const std::string& service, int routes = 1) {
  std::string list;
  for (int index = 0; index < routes; ++index) {
    list += std::string(index == 0 ? "" : ",") + R"({"name":"r-)" + std::to_string(index) +
            R"(","host":"198.18.0.1","path_prefix":"/)" + std::to_string(8000 + index) +
            R"(/","service":")" + service + R"("})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list +
         R"(],"services":[{"name":")" + service +
         R"(","max_connections":2000}],"limits":{"idle_timeout_ms":15000}})";
}

std::string makeHostEntry(const std::string& address, const std::string& state = "ready") {
  return R"({"service":"s-one","address":")" + address +
         R"(","zone":"bole","version":"v1","slots":2,"state":")" + state +
         R"(","cold_remaining_ms":0,"sequence":1})";
}

}  // namespace

TEST_GROUP_BASE(ObjectStoreAdapter, test::WithoutLeakDetection) {
  std::unique_ptr<test::StandinStore> store = std::make_unique<test::StandinStore>(3);
  std::unique_ptr<ObjectStoreAdapter> adapter;
  uint64_t appliedVersion = 0;
  /** Keeps probes from affecting the call counts of tests that are not about probes. */
  Duration livenessInterval = std::chrono::hours(1);
  Duration maxKnowledgeAge = seconds(2);
  Duration answerTolerance = milliseconds(400);
  Duration answerLimit = milliseconds(500);
  Duration changeBatchDelay = milliseconds(5);
  std::map<std::string, HostPool> pools;
  std::map<std::string, Service> services;

  /** Options with intervals that are short enough for a test. */
  ObjectStoreOptions options() {
    ObjectStoreOptions result;
    result.address = store->address();
    result.region = "addis";
    result.follower.maxKnowledgeAge = maxKnowledgeAge;
    result.follower.answerTolerance = answerTolerance;
    result.follower.changeBatchDelay = changeBatchDelay;
    result.follower.retry = {milliseconds(10), milliseconds(50)};
    result.follower.retryBudget = {10, milliseconds(50)};
    result.limits.connect = milliseconds(500);
    result.limits.answer = answerLimit;
    result.presence.vanishedGrace = milliseconds(400);
    result.presence.outageGrace = milliseconds(400);
    result.peerTimeout = milliseconds(300);
    result.liveness.first = livenessInterval;
    result.liveness.interval = livenessInterval;
    result.liveness.intervalAfterMiss = milliseconds(20);
    result.probeTimeout = milliseconds(200);
    return result;
  }
  void setHost(int index, const std::string& state = "ready") {
    store->objects().set("servers", "i-" + std::to_string(index),
                         makeHostEntry("10.0.0." + std::to_string(index) + ":80", state));
  }
  void storeConfigurationAndHosts(int hosts) {
    store->objects().set("config", "main", configuration(3, "s-one"));
    for (int index = 1; index <= hosts; ++index) {
      setHost(index);
    }
  }
  void start() {
    adapter = std::make_unique<ObjectStoreAdapter>(options());
    awaitList();
  }
  /** Starts with five hosts, of which the last one is known from a watch. */
  void startWithLongWatches() {
    maxKnowledgeAge = seconds(60);
    storeConfigurationAndHosts(4);
    start();
    setHost(5);
    CHECK_TRUE(followToActive(5));
  }
  void awaitList() {
    auto listed = adapter->list();
    for (int attempts = 0; attempts < 20 && !isOk(listed); ++attempts) {
      listed = adapter->list();
    }
    CHECK_TRUE(isOk(listed));
    applyChanges(valueOf(listed));
  }
  void applyChanges(const CatalogChanges& update) {
    appliedVersion = update.version;
    for (const CatalogChange& change : update.changes) {
      if (const auto* pool = std::get_if<HostPool>(&change)) {
        pools[pool->name] = *pool;
      } else if (const auto* deleted = std::get_if<DeletedObject>(&change)) {
        services.erase(deleted->name);
      } else {
        services[std::get<Service>(change).name] = std::get<Service>(change);
      }
    }
  }
  /**
   * Applies the adapter's changes until the condition holds.
   * @return whether it holds in time.
   */
  template <class Condition>
  bool follow(const Condition& condition, Duration timeout = seconds(10)) {
    const TimePoint deadline = steadyNow() + timeout;
    while (!condition() && steadyNow() < deadline) {
      const auto batch = adapter->watch(appliedVersion, milliseconds(100));
      CHECK_TRUE(isOk(batch));
      applyChanges(valueOf(batch));
    }
    return condition();
  }
  size_t activeHosts() {
    size_t count = 0;
    for (const HostSpec& spec : pools["s-one"].hosts) {
      count += spec.state == HostState::kActive ? 1 : 0;
    }
    return count;
  }
  bool followToActive(size_t count) {
    return follow([this, count] { return activeHosts() == count; });
  }
  void setResponseMode(test::StoreResponseMode mode) {
    test::StandinFaults faults;
    faults.responseMode = mode;
    store->setFaults(faults);
  }
  /** Simulates an outage that the adapter detects and during which the store loses all hosts. */
  void simulateOutage(test::StoreResponseMode mode) {
    setResponseMode(mode);
    for (int index = 1; index <= 4; ++index) {
      store->objects().remove("servers", "i-" + std::to_string(index), 0);
    }
    CHECK_TRUE(follow([this] { return adapter->status().failing; }));
    LONGS_EQUAL(4, activeHosts());
    setResponseMode(test::StoreResponseMode::kAnswering);
  }

  /**
   * Starts while the store is unresponsive for a time, on connections that stay open without
   * further data.
   * @return the time from the end of the outage until everything is known.
   */
  Duration timeToStartAfterOutage(Duration outageDuration) {
    answerLimit = seconds(30);
    storeConfigurationAndHosts(4);
    test::StandinFaults faults;
    faults.responseMode = test::StoreResponseMode::kSilent;
    faults.staysSilent = true;
    store->setFaults(faults);
    adapter = std::make_unique<ObjectStoreAdapter>(options());
    std::this_thread::sleep_for(outageDuration);
    store->setFaults({});
    const TimePoint restoredAt = steadyNow();
    awaitList();
    LONGS_EQUAL(4, activeHosts());
    return steadyNow() - restoredAt;
  }

  void teardown() override {
    adapter.reset();
    store.reset();
  }
};

TEST(ObjectStoreAdapter, ListsSeveralPagesAndThenWatchesOverTwoConnections) {
  storeConfigurationAndHosts(8);
  start();
  LONGS_EQUAL(8, activeHosts());
  LONGS_EQUAL(1, services.count("r-0"));
  setHost(9);
  CHECK_TRUE(followToActive(9));
  setHost(9, "draining");
  CHECK_TRUE(followToActive(8));
  LONGS_EQUAL(4, store->calls().staleLists);
  LONGS_EQUAL(0, store->calls().lists);
  LONGS_EQUAL(2, store->calls().connections);
}

TEST(ObjectStoreAdapter, AppliesRegistrationsAfterAStartOrAnOutageWithoutBatchDelay) {
  changeBatchDelay = seconds(60);
  storeConfigurationAndHosts(4);
  start();
  setHost(5);
  CHECK_TRUE(followToActive(5));
  setHost(6);
  CHECK_TRUE(followToActive(6));
  setResponseMode(test::StoreResponseMode::kReset);
  CHECK_TRUE(follow([this] { return adapter->status().failing; }));
  setResponseMode(test::StoreResponseMode::kAnswering);
  setHost(7);
  CHECK_TRUE(followToActive(7));
  setHost(8);
  CHECK_TRUE(followToActive(8));
}

/**
 * A watch issued while the store lost its history never received another event, while the watch of
 * the other kind got the error that the history is gone.
 */
TEST(ObjectStoreAdapter, ALostHistoryRenewsTheWatchesOfBothKinds) {
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
TEST(ObjectStoreAdapter, RenewsAWatchThatFollowsAFailedOne) {
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
TEST(ObjectStoreAdapter, RenewsAWatchThatMissesAChange) {
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
TEST(ObjectStoreAdapter, RenewsAWatchThatAShortSilenceSwallowed) {
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
TEST(ObjectStoreAdapter, ReplacesConnectionsThatGoSilentForGood) {
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
}

/** Guards against a configuration missed where one watch is lost and the history goes early. */
TEST(ObjectStoreAdapter, ListsAfterALostWatchWhoseHistoryIsGone) {
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

TEST(ObjectStoreAdapter, AWatchThatAnswersIsNotRenewed) {
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

TEST(ObjectStoreAdapter, AConfigurationAloneEndsAPendingWatch) {
  storeConfigurationAndHosts(1);
  start();
  std::thread writer([this] {
    std::this_thread::sleep_for(milliseconds(100));
    store->objects().set("config", "main", configuration(5, "s-one", 2));
    std::this_thread::sleep_for(seconds(1));
    setHost(2);
  });
  const auto batch = adapter->watch(appliedVersion, seconds(20));
  writer.join();
  CHECK_TRUE(isOk(batch));
  // If the call had returned only because the host changed, the host's pool would be included.
  LONGS_EQUAL(1, valueOf(batch).changes.size());
  STRCMP_EQUAL("r-1", std::get<Service>(valueOf(batch).changes[0]).name.c_str());
}

/** Guards against new flows to hosts that left together: nothing but time ends their grace. */
TEST(ObjectStoreAdapter, TheEndOfAGracePeriodEndsAPendingWatch) {
  changeBatchDelay = milliseconds(300);
  startWithLongWatches();
  // Both are in the answer that follows the delay.
  store->objects().remove("servers", "i-1", 0);
  store->objects().remove("servers", "i-2", 0);
  const TimePoint removedAt = steadyNow();
  const auto batch = adapter->watch(appliedVersion, seconds(20));
  CHECK_TRUE(isOk(batch));
  applyChanges(valueOf(batch));
  LONGS_EQUAL(3, activeHosts());
  CHECK_TRUE(steadyNow() - removedAt < seconds(3));
}

/** Guards against new flows to a host that leaves long after an outage without saying so. */
TEST(ObjectStoreAdapter, AnOutageIsOverOnceAProbeIsAnsweredWhileTheWatchWaits) {
  livenessInterval = milliseconds(50);
  answerLimit = seconds(30);
  maxKnowledgeAge = seconds(60);
  storeConfigurationAndHosts(8);
  ObjectStoreOptions longGrace = options();
  longGrace.presence.outageGrace = seconds(10);
  longGrace.presence.postOutageWindow = milliseconds(300);
  adapter = std::make_unique<ObjectStoreAdapter>(longGrace);
  awaitList();
  test::StandinFaults faults;
  faults.responseMode = test::StoreResponseMode::kSilent;
  store->setFaults(faults);
  std::this_thread::sleep_for(milliseconds(500));
  store->setFaults({});
  // Longer than a node takes to notice, and the time in which departures count as its consequence.
  std::this_thread::sleep_for(milliseconds(1500));
  store->objects().remove("servers", "i-1", 0);
  CHECK_TRUE(follow([this] { return activeHosts() == 7; }, seconds(2)));
}

TEST(ObjectStoreAdapter, IsUnavailableUntilThereIsAConfiguration) {
  ObjectStoreOptions shortTimeoutOptions = options();
  shortTimeoutOptions.firstListTimeout = milliseconds(50);
  adapter = std::make_unique<ObjectStoreAdapter>(shortTimeoutOptions);
  CHECK_TRUE(errorOf(adapter->list()).code == StoreErrorCode::kUnavailable);
  storeConfigurationAndHosts(1);
  CHECK_TRUE(follow([this] { return isOk(adapter->list()); }));
}

TEST(ObjectStoreAdapter, CatchesUpFromAStaleList) {
  storeConfigurationAndHosts(4);
  store->objects().freezeStaleReads();
  setHost(4, "draining");
  store->objects().set("config", "main", configuration(5, "s-one", 3));
  start();
  CHECK_TRUE(follow([this] { return services.size() == 3 && activeHosts() == 3; }));
}

TEST(ObjectStoreAdapter, RevertsNothingWhenTheHistoryIsLost) {
  storeConfigurationAndHosts(8);
  start();
  store->objects().freezeStaleReads();
  setResponseMode(test::StoreResponseMode::kBusy);
  setHost(9);
  store->objects().remove("servers", "i-1", 0);
  store->objects().set("config", "main", configuration(7, "s-one", 2));
  store->objects().forgetHistory();
  setResponseMode(test::StoreResponseMode::kAnswering);
  CHECK_TRUE(follow([this] {
    return services.size() == 2 && activeHosts() == 8 && pools["s-one"].hosts.size() == 9;
  }));
  CHECK_TRUE(store->calls().lists > 0);
}

/** Guards against new flows to a host that left while the history was lost. */
TEST(ObjectStoreAdapter, AListWithUnreadableEntriesEndsTheHostsThatItLacks) {
  storeConfigurationAndHosts(8);
  start();
  setResponseMode(test::StoreResponseMode::kBusy);
  store->objects().remove("servers", "i-1", 0);
  store->objects().set("servers", "i-2", "\"\xFF\"");
  store->objects().set("servers", "i-\xFF", "7");
  store->objects().forgetHistory();
  setResponseMode(test::StoreResponseMode::kAnswering);
  CHECK_TRUE(followToActive(6));
  setHost(2);
  CHECK_TRUE(followToActive(7));
}

TEST(ObjectStoreAdapter, KeepsHostsLostByABusyStoreActiveUntilTheyRegisterAgain) {
  storeConfigurationAndHosts(4);
  start();
  simulateOutage(test::StoreResponseMode::kBusy);
  for (int index = 1; index <= 4; ++index) {
    setHost(index);
  }
  CHECK_FALSE(follow([this] { return activeHosts() < 4; }, seconds(2)));
}

TEST(ObjectStoreAdapter, DrainsHostsThatDoNotRegisterAgainAfterAnOutage) {
  storeConfigurationAndHosts(4);
  start();
  simulateOutage(test::StoreResponseMode::kSilent);
  setHost(1);
  setHost(2);
  CHECK_TRUE(followToActive(2));
  LONGS_EQUAL(4, pools["s-one"].hosts.size());
}

TEST(ObjectStoreAdapter, OpensNewConnectionsAfterResets) {
  storeConfigurationAndHosts(4);
  start();
  const uint64_t connections = store->calls().connections;
  setResponseMode(test::StoreResponseMode::kReset);
  setHost(5);
  CHECK_TRUE(follow([this] { return adapter->status().failures > 2; }));
  setResponseMode(test::StoreResponseMode::kAnswering);
  CHECK_TRUE(followToActive(5));
  CHECK_TRUE(store->calls().connections > connections);
}

/** Only probes can detect this: connections stay open, and a watch has a timeout of one minute. */
TEST(ObjectStoreAdapter, ReissuesWatchesThatAnUnresponsiveStoreNeverAnswers) {
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

/**
 * The connection stays open without data: without a probe, the list would wait for its full
 * timeout.
 */
TEST(ObjectStoreAdapter, ReissuesAFirstListThatAnUnresponsiveStoreNeverAnswers) {
  livenessInterval = milliseconds(50);
  CHECK_TRUE(timeToStartAfterOutage(milliseconds(700)) < seconds(2));
}

/**
 * The probes before and after the outage are answered; only the waiting time shows that the list is
 * lost.
 */
TEST(ObjectStoreAdapter, ReissuesAFirstListLostBetweenTwoAnsweredProbes) {
  livenessInterval = milliseconds(700);
  CHECK_TRUE(timeToStartAfterOutage(milliseconds(200)) < seconds(5));
}

/**
 * A node answers peers once it knows both kinds of objects, with the configuration encoded in the
 * form of the store's answers.
 */
TEST(ObjectStoreAdapter, AnswersPeersOnceItKnowsBothKinds) {
  setResponseMode(test::StoreResponseMode::kReset);
  adapter = std::make_unique<ObjectStoreAdapter>(options());
  CHECK_FALSE(adapter->answerPeer(kPeerHeldPath)->available);
  CHECK_FALSE(adapter->answerPeer(kPeerConfigurationPath)->available);
  CHECK_FALSE(adapter->answerPeer(pathOf(HostCopyRequest{5, 0}))->available);
  CHECK_FALSE(adapter->answerPeer("/other").has_value());
  adapter.reset();
  setResponseMode(test::StoreResponseMode::kAnswering);
  storeConfigurationAndHosts(3);
  setHost(2, "draining");
  start();
  PeerChanges peerState;
  const TimePoint deadline = steadyNow() + seconds(10);
  while (!peerState.offersCopy() && steadyNow() < deadline) {
    peerState = valueOf(decodePeerChanges(adapter->answerPeer(kPeerHeldPath)->body));
    std::this_thread::sleep_for(milliseconds(5));
  }
  LONGS_EQUAL(1, peerState.copy.parts);
  const auto part = decodeHostCopyPart(
      adapter->answerPeer(pathOf(HostCopyRequest{peerState.copy.version, 0}))->body);
  LONGS_EQUAL(3, valueOf(part).hosts.size());
  const HostEvent& second = valueOf(part).hosts[1];
  STRCMP_EQUAL("i-2", second.host.name.c_str());
  STRCMP_EQUAL("s-one", second.pool.c_str());
  CHECK_TRUE(second.version > second.madeAt);
  CHECK_TRUE(second.host.endpoint == *parseEndpoint("10.0.0.2:80"));
  STRCMP_EQUAL("bole", second.host.zone.c_str());
  LONGS_EQUAL(2, second.host.slots);
  CHECK_TRUE(second.host.state == HostState::kDraining);
  const auto text = decompressPayload(adapter->answerPeer(kPeerConfigurationPath)->body);
  const auto config = decodePage(StoreKind::kConfiguration, valueOf(text));
  const auto& decoded = std::get<Configuration>(valueOf(config).objects.at(0).specification);
  LONGS_EQUAL(3, decoded.version);
  LONGS_EQUAL(1, decoded.routes.size());
  LONGS_EQUAL(8000, decoded.routes[0].listen.port);
  STRCMP_EQUAL("s-one", decoded.routes[0].parts.at(0).service.c_str());
  LONGS_EQUAL(2000, decoded.connectionLimits.at("s-one"));
  CHECK_TRUE(decoded.idleTimeout == seconds(15));
}

/** Pools are rebuilt from all hosts, which takes 5 ms of CPU time for 10,000 hosts. */
TEST(ObjectStoreAdapter, TranslatesAListOnceAndNotPerPage) {
  constexpr int kHosts = 30;
  constexpr uint64_t kPages = 10;
  storeConfigurationAndHosts(kHosts);
  start();
  CHECK_TRUE(followToActive(kHosts));
  const uint64_t before = appliedVersion;
  setResponseMode(test::StoreResponseMode::kBusy);
  for (int index = 1; index <= kHosts; ++index) {
    setHost(index, "draining");
  }
  store->objects().forgetHistory();
  setResponseMode(test::StoreResponseMode::kAnswering);
  CHECK_TRUE(followToActive(0));
  // Each page changes the pool, so translating it per page would create a version for each page.
  CHECK_TRUE(appliedVersion - before < kPages / 2);
}

/** The rate limit is 0 at first, so that no call can pass at the boundary of a second. */
TEST(ObjectStoreAdapter, RetriesCallsBeyondTheRateLimit) {
  storeConfigurationAndHosts(2);
  test::StandinFaults faults;
  faults.readsPerSecond = 0;
  store->setFaults(faults);
  start();
  setHost(3);
  CHECK_TRUE(follow([this] { return adapter->status().failures > 2; }));
  LONGS_EQUAL(2, activeHosts());
  store->setFaults({});
  CHECK_TRUE(followToActive(3));
}

TEST(ObjectStoreAdapter, ServesFromASlowStore) {
  test::StandinFaults faults;
  faults.slow = milliseconds(200);
  store->setFaults(faults);
  storeConfigurationAndHosts(2);
  start();
  setHost(3);
  CHECK_TRUE(followToActive(3));
  LONGS_EQUAL(0, adapter->status().failures);
}

TEST(ObjectStoreAdapter, KeepsTheLastReadableConfigurationAndWithdrawsAnUnreadableHost) {
  storeConfigurationAndHosts(2);
  start();
  store->objects().set("config", "main", R"({"version":9,"routes":"none"})");
  store->objects().set("servers", "i-2", R"({"service":7})");
  CHECK_TRUE(followToActive(1));
  setHost(3);
  CHECK_TRUE(followToActive(2));
  LONGS_EQUAL(1, services.size());
  CHECK_TRUE(follow([this] { return adapter->status().unreadable == 2; }));
  LONGS_EQUAL(3, pools["s-one"].hosts.size());
  setHost(2);
  CHECK_TRUE(followToActive(3));
}

TEST(ObjectStoreAdapter, EndsPendingCallsWhenStopped) {
  storeConfigurationAndHosts(1);
  start();
  adapter->stop();
  const auto batch = adapter->watch(appliedVersion, std::chrono::hours(1));
  CHECK_TRUE(isOk(batch));
  LONGS_EQUAL(appliedVersion, valueOf(batch).version);
  CHECK_TRUE(valueOf(batch).changes.empty());
}
