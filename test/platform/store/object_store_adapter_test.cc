/** @file Tests the adapter against the stand-in store and its simulated faults. */
#include "platform/store/object_store_adapter.h"

#include <string>
#include <thread>

#include "common/wire/codec.h"
#include "common/wire/payload_compression.h"
#include "platform/store/peer_request.h"
#include "platform/store/store_messages.h"
#include "test/platform/store/adapter_fixture.h"

using namespace umberhold;
using namespace umberhold::platform;
using namespace umberhold::platform::test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(ObjectStoreAdapter, AdapterFixture){};

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
