/** @file An adapter that reads the stand-in store, for tests of its calls and their faults. */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>

#include "common/platform/steady_now.h"
#include "platform/store/object_store_adapter.h"
#include "test/platform/store/standin_store.h"
#include "test/support/without_leak_detection.h"

namespace umberhold::platform::test_support {

inline std::string configuration(uint64_t version, const std::string& service, int routes = 1) {
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

inline std::string makeHostEntry(const std::string& address, const std::string& state = "ready") {
  return R"({"service":"s-one","address":")" + address +
         R"(","zone":"bole","version":"v1","slots":2,"state":")" + state +
         R"(","cold_remaining_ms":0,"sequence":1})";
}

/** See the file comment. */
class AdapterFixture : public test::WithoutLeakDetection {
 public:
  std::unique_ptr<test::StandinStore> store = std::make_unique<test::StandinStore>(3);
  std::unique_ptr<ObjectStoreAdapter> adapter;
  uint64_t appliedVersion = 0;
  /** Keeps probes from affecting the call counts of tests that are not about probes. */
  Duration livenessInterval = std::chrono::hours(1);
  Duration maxKnowledgeAge = std::chrono::seconds(2);
  Duration answerTolerance = std::chrono::milliseconds(400);
  Duration answerLimit = std::chrono::milliseconds(500);
  Duration changeBatchDelay = std::chrono::milliseconds(5);
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
    result.follower.retry = {std::chrono::milliseconds(10), std::chrono::milliseconds(50)};
    result.follower.retryBudget = {10, std::chrono::milliseconds(50)};
    result.limits.connect = std::chrono::milliseconds(500);
    result.limits.answer = answerLimit;
    result.presence.vanishedGrace = std::chrono::milliseconds(400);
    result.presence.outageGrace = std::chrono::milliseconds(400);
    result.peerTimeout = std::chrono::milliseconds(300);
    result.liveness.first = livenessInterval;
    result.liveness.interval = livenessInterval;
    result.liveness.intervalAfterMiss = std::chrono::milliseconds(20);
    result.probeTimeout = std::chrono::milliseconds(200);
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
    maxKnowledgeAge = std::chrono::seconds(60);
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
  bool follow(const Condition& condition, Duration timeout = std::chrono::seconds(10)) {
    const TimePoint deadline = steadyNow() + timeout;
    while (!condition() && steadyNow() < deadline) {
      const auto batch = adapter->watch(appliedVersion, std::chrono::milliseconds(100));
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
    answerLimit = std::chrono::seconds(30);
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

}  // namespace umberhold::platform::test_support
