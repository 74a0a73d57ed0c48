/**
 * @file The HTTP store client against the platform stand-in on loopback: every response and
 * failure.
 */
#include "common/platform/http_platform_store.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "standins/platform/platform_server.h"
#include "standins/platform/platform_state.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using namespace umberhold::standins;

namespace {

/** Timeouts that no call answered by the stand-in exceeds, even on a busy machine. */
CallLimits generousLimits() {
  CallLimits limits;
  limits.connect = std::chrono::seconds(20);
  limits.answer = std::chrono::seconds(20);
  return limits;
}

/** Timeouts for calls whose response is lost or late. */
CallLimits shortLimits() {
  CallLimits limits;
  limits.connect = std::chrono::milliseconds(500);
  limits.answer = std::chrono::milliseconds(500);
  return limits;
}

StoredObject makeObject(const std::string& name, uint64_t expectedVersion,
                        const std::string& specification = R"({"weight":1})") {
  StoredObject object;
  object.collection = Collection::kServices;
  object.name = name;
  object.version = expectedVersion;
  object.history = {{"request-1", "amina", "apply", 1700000000}};
  object.specification = specification;
  return object;
}

}  // namespace

TEST_GROUP_BASE(HttpPlatformStore, test::WithoutLeakDetection) {
  std::unique_ptr<PlatformServer> server =
      std::make_unique<PlatformServer>(PlatformServerOptions{});
  std::unique_ptr<HttpPlatformStore> store =
      std::make_unique<HttpPlatformStore>(server->api(), generousLimits());
  /** A client with short timeouts. */
  std::unique_ptr<HttpPlatformStore> shortTimeoutStore =
      std::make_unique<HttpPlatformStore>(server->api(), shortLimits());

  uint64_t mustPut(const StoredObject& object) {
    const auto version = store->put(object);
    const std::string failure = isOk(version) ? "" : errorOf(version).detail;
    STRCMP_EQUAL("", failure.c_str());
    return isOk(version) ? valueOf(version) : 0;
  }
  template <class Value>
  void checkError(StoreErrorCode code, const Result<Value, StoreError>& result) {
    CHECK_FALSE(isOk(result));
    CHECK_EQUAL(static_cast<int>(code), static_cast<int>(errorOf(result).code));
  }
};

TEST(HttpPlatformStore, RejectsAChangeWithAnOutdatedExpectedVersion) {
  const uint64_t first = mustPut(makeObject("dispatch", 0));
  checkError(StoreErrorCode::kConflict, store->put(makeObject("dispatch", 0)));
  checkError(StoreErrorCode::kConflict, store->put(makeObject("mapstore", first)));
  const uint64_t second = mustPut(makeObject("dispatch", first, R"({"weight":2})"));
  CHECK_TRUE(second > first);
  checkError(StoreErrorCode::kConflict, store->put(makeObject("dispatch", first)));
  checkError(StoreErrorCode::kConflict, store->remove(makeObject("dispatch", first)));
  const auto current = store->get(Collection::kServices, "dispatch");
  CHECK_TRUE(isOk(current));
  STRCMP_EQUAL(R"({"weight":2})", valueOf(current).specification.c_str());
}

TEST(HttpPlatformStore, KeepsAnObjectWithItsHistoryUntilItIsRemoved) {
  const std::string name = "a name/with ?&+% signs";
  const uint64_t version = mustPut(makeObject(name, 0));
  const auto read = store->get(Collection::kServices, name);
  CHECK_TRUE(isOk(read));
  CHECK_EQUAL(version, valueOf(read).version);
  CHECK_TRUE(makeObject(name, 0).history == valueOf(read).history);
  CHECK_TRUE(isOk(store->remove(makeObject(name, version))));
  checkError(StoreErrorCode::kNotFound, store->get(Collection::kServices, name));
  checkError(StoreErrorCode::kNotFound, store->remove(makeObject(name, version)));
}

TEST(HttpPlatformStore, RejectsInvalidJsonBeforeSending) {
  checkError(StoreErrorCode::kRejected, store->put(makeObject("dispatch", 0, "{broken")));
  CHECK_EQUAL(0U, server->state().counters.put.load());
}

TEST(HttpPlatformStore, ListsPageByPageInOrder) {
  for (const char* name : {"c", "a", "e", "b", "d"}) {
    mustPut(makeObject(name, 0));
  }
  const auto first = store->listPage(Collection::kServices, "", 2);
  CHECK_TRUE(isOk(first));
  CHECK_EQUAL(2U, valueOf(first).objects.size());
  STRCMP_EQUAL("b", valueOf(first).next.c_str());
  const auto last = store->listPage(Collection::kServices, "d", 2);
  CHECK_TRUE(isOk(last));
  CHECK_EQUAL(1U, valueOf(last).objects.size());
  CHECK_TRUE(valueOf(last).next.empty());
  const auto fullList = store->list(Collection::kServices);
  CHECK_TRUE(isOk(fullList));
  CHECK_EQUAL(5U, valueOf(fullList).objects.size());
  CHECK_EQUAL(5U, valueOf(fullList).version);
}

TEST(HttpPlatformStore, WatchReportsChangesAndDeletionsInOrder) {
  const uint64_t first = mustPut(makeObject("dispatch", 0));
  const uint64_t second = mustPut(makeObject("dispatch", first));
  CHECK_TRUE(isOk(store->remove(makeObject("dispatch", second))));
  const auto batch = store->watch(first, std::chrono::milliseconds(100));
  CHECK_TRUE(isOk(batch));
  CHECK_EQUAL(2U, valueOf(batch).events.size());
  CHECK_EQUAL(second, valueOf(batch).events[0].version);
  CHECK_FALSE(valueOf(batch).events[0].deleted);
  CHECK_TRUE(valueOf(batch).events[1].deleted);
  CHECK_EQUAL(valueOf(batch).version, valueOf(batch).events[1].version);
}

TEST(HttpPlatformStore, WatchWaitsForAChangeAndIsCountedWhileOpen) {
  Result<WatchBatch, StoreError> batch;
  std::thread watcher([&] { batch = store->watch(0, std::chrono::seconds(20)); });
  while (server->state().counters.openWatches == 0) {
    std::this_thread::yield();
  }
  const auto written = store->put(makeObject("dispatch", 0));
  watcher.join();
  CHECK_TRUE(isOk(written));
  CHECK_TRUE(isOk(batch));
  CHECK_EQUAL(1U, valueOf(batch).events.size());
  CHECK_EQUAL(1U, server->state().counters.maxOpenWatches.load());
}

TEST(HttpPlatformStore, LeaseWritesEndNoWatch) {
  StoredObject lease = makeObject("reader-0", 0);
  lease.collection = Collection::kLeases;
  const uint64_t version = mustPut(lease);
  const auto batch = store->watch(0, std::chrono::milliseconds(20));
  CHECK_TRUE(isOk(batch));
  CHECK_TRUE(valueOf(batch).events.empty());
  CHECK_EQUAL(version, valueOf(batch).version);
}

TEST(HttpPlatformStore, WatchOlderThanTheHistoryIsTooOld) {
  server->state().objects.setHistoryLimit(2);
  const uint64_t first = mustPut(makeObject("a", 0));
  for (const char* name : {"b", "c", "d"}) {
    mustPut(makeObject(name, 0));
  }
  checkError(StoreErrorCode::kTooOld, store->watch(first, std::chrono::milliseconds(20)));
  CHECK_TRUE(isOk(store->watch(first + 1, std::chrono::milliseconds(20))));
}

TEST(HttpPlatformStore, ChangeIsAppliedWhenItsAnswerIsLost) {
  FaultSettings faults;
  faults.loseAnswersNext = 1;
  server->setFaults(faults);
  checkError(StoreErrorCode::kAnswerLost, shortTimeoutStore->put(makeObject("dispatch", 0)));
  CHECK_TRUE(isOk(store->get(Collection::kServices, "dispatch")));
}

TEST(HttpPlatformStore, ChangeIsNotAppliedWhenItsRequestIsLost) {
  FaultSettings faults;
  faults.loseRequestsNext = 1;
  server->setFaults(faults);
  checkError(StoreErrorCode::kAnswerLost, shortTimeoutStore->put(makeObject("dispatch", 0)));
  checkError(StoreErrorCode::kNotFound, store->get(Collection::kServices, "dispatch"));
}

TEST(HttpPlatformStore, DelayedChangeIsAppliedAfterItsCallerTimedOut) {
  FaultSettings faults;
  faults.lateChangesNext = 1;
  faults.lateBy = std::chrono::milliseconds(200);
  server->setFaults(faults);
  checkError(StoreErrorCode::kAnswerLost, shortTimeoutStore->put(makeObject("dispatch", 0)));
  const auto batch = store->watch(0, std::chrono::seconds(20));
  CHECK_TRUE(isOk(batch));
  CHECK_EQUAL(1U, valueOf(batch).events.size());
}

TEST(HttpPlatformStore, UnavailableStoreReturnsRetryAfterAndAppliesNothing) {
  FaultSettings faults;
  faults.outage = Outage::kUnavailable;
  faults.retryAfterSeconds = 7;
  server->setFaults(faults);
  const auto answer = store->put(makeObject("dispatch", 0));
  checkError(StoreErrorCode::kUnavailable, answer);
  CHECK_TRUE(errorOf(answer).retryAfter == Duration(std::chrono::seconds(7)));
  server->setFaults({});
  checkError(StoreErrorCode::kNotFound, store->get(Collection::kServices, "dispatch"));
}

TEST(HttpPlatformStore, ClosedPortIsUnavailableUntilItOpensAgain) {
  FaultSettings faults;
  faults.outage = Outage::kRefused;
  server->setFaults(faults);
  checkError(StoreErrorCode::kUnavailable, store->put(makeObject("dispatch", 0)));
  server->setFaults({});
  CHECK_EQUAL(1U, mustPut(makeObject("dispatch", 0)));
}

TEST(HttpPlatformStore, ASlowAnswerCountsAsLost) {
  FaultSettings faults;
  faults.slow = std::chrono::milliseconds(900);
  server->setFaults(faults);
  checkError(StoreErrorCode::kAnswerLost, shortTimeoutStore->put(makeObject("dispatch", 0)));
}

TEST(HttpPlatformStore, MachineListLagsBehindRegistrations) {
  server->state().machines.setLag(std::chrono::hours(1));
  const Machine machine{7, "addis", "bole", {0x7F000001, 4000}, true};
  server->state().machines.put(machine);
  const auto before = store->machines();
  CHECK_TRUE(isOk(before));
  CHECK_TRUE(valueOf(before).empty());
  server->state().machines.setLag(Duration{0});
  const auto after = store->machines();
  CHECK_TRUE(isOk(after));
  CHECK_EQUAL(1U, valueOf(after).size());
  CHECK_EQUAL(7U, valueOf(after)[0].nodeId);
  CHECK_TRUE(valueOf(after)[0].leaving);
  STRCMP_EQUAL("bole", valueOf(after)[0].zone.c_str());
}
