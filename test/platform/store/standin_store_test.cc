/** @file Tests that the stand-in store follows the published protocol. */
#include "test/platform/store/standin_store.h"

#include <string>
#include <thread>

#include "common/platform/http_connection.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using std::chrono::milliseconds;

TEST_GROUP_BASE(StandinStore, test::WithoutLeakDetection) {
  test::StandinStore store;

  Result<HttpCallAnswer, StoreError> call(const std::string& method, const std::string& target,
                                          const std::string& body = "") {
    CallLimits limits;
    limits.answer = milliseconds(300);
    HttpConnection connection(store.address(), limits);
    return connection.call({method, "/api/objects/" + target, body, Duration{0}});
  }
  int status(const std::string& method, const std::string& target, const std::string& body = "") {
    const auto answer = call(method, target, body);
    return isOk(answer) ? valueOf(answer).status : 0;
  }
  static std::string body(const std::string& name, uint64_t revision, const std::string& spec,
                          const std::string& finalizers = "") {
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(,"finalizers":[)" + finalizers + R"(]},"spec":)" + spec + R"(,"status":{"a":1}})";
  }
};

TEST(StandinStore, CreatesOnceAndReplacesOnlyAtTheRequiredRevision) {
  LONGS_EQUAL(200, status("POST", "locks", body("leader", 0, "1")));
  LONGS_EQUAL(409, status("POST", "locks", body("leader", 0, "2")));
  LONGS_EQUAL(200, status("PUT", "locks/leader", body("leader", 1, "3")));
  LONGS_EQUAL(409, status("PUT", "locks/leader", body("leader", 1, "4")));
  LONGS_EQUAL(404, status("PUT", "locks/other", body("other", 0, "4")));
  const auto object = store.objects().get("locks", "leader", false);
  STRCMP_EQUAL("3", object->spec.c_str());
  LONGS_EQUAL(2, object->revision);
  LONGS_EQUAL(1, object->made);
}

TEST(StandinStore, ReplacesOnlyTheStatus) {
  store.objects().set("config", "main", "7");
  LONGS_EQUAL(200, status("PUT", "config/main/status", body("main", 0, "8")));
  const auto object = store.objects().get("config", "main", false);
  STRCMP_EQUAL("7", object->spec.c_str());
  STRCMP_EQUAL("{\"a\":1}", object->status.c_str());
}

TEST(StandinStore, KeepsADeletedObjectUntilItsFinalizersAreGone) {
  LONGS_EQUAL(200, status("POST", "locks", body("leader", 0, "1", "\"mine\"")));
  LONGS_EQUAL(409, status("DELETE", "locks/leader?revision=9"));
  LONGS_EQUAL(200, status("DELETE", "locks/leader?revision=1"));
  CHECK_TRUE(store.objects().get("locks", "leader", false)->deleting);
  LONGS_EQUAL(200, status("PUT", "locks/leader", body("leader", 0, "1")));
  LONGS_EQUAL(404, status("GET", "locks/leader"));
}

TEST(StandinStore, ExecutesAChangeWhoseAnswerIsLost) {
  test::StandinFaults faults;
  faults.loseAnswers = 1;
  store.setFaults(faults);
  const auto answer = call("POST", "locks", body("leader", 0, "1"));
  CHECK_FALSE(isOk(answer));
  CHECK_TRUE(errorOf(answer).code == StoreErrorCode::kAnswerLost);
  LONGS_EQUAL(200, status("GET", "locks/leader"));
}

TEST(StandinStore, ExecutesADelayedChangeOnlyIfItsPreconditionStillHolds) {
  store.objects().set("locks", "leader", "1");
  test::StandinFaults faults;
  faults.lateChanges = 1;
  faults.lateBy = milliseconds(200);
  store.setFaults(faults);
  CHECK_FALSE(isOk(call("PUT", "locks/leader", body("leader", 1, "2"))));
  store.objects().set("locks", "leader", "3");
  // The delayed change has been attempted by now.
  std::this_thread::sleep_for(milliseconds(400));
  STRCMP_EQUAL("3", store.objects().get("locks", "leader", false)->spec.c_str());
}

/**
 * Abandoned calls occupied the stand-in's threads, so that it was unresponsive without a simulated
 * fault.
 */
TEST(StandinStore, RespondsAfterAnOutageDespiteManyAbandonedCalls) {
  store.objects().set("config", "main", "7");
  test::StandinFaults faults;
  faults.responseMode = test::StoreResponseMode::kSilent;
  faults.staysSilent = true;
  store.setFaults(faults);
  constexpr int kCalls = 200;
  CallLimits limits;
  limits.answer = milliseconds(10);
  for (int index = 0; index < kCalls; ++index) {
    HttpConnection connection(store.address(), limits);
    connection.call({"GET", "/api/objects/config/main", "", Duration{0}});
  }
  store.setFaults({});
  LONGS_EQUAL(200, status("GET", "config/main"));
}

TEST(StandinStore, AnswersAWatchOlderThanItsHistoryWithGone) {
  store.objects().set("config", "main", "1");
  store.objects().set("config", "main", "2");
  LONGS_EQUAL(200, status("GET", "config?watch=1&wait_ms=0"));
  store.objects().forgetHistory();
  LONGS_EQUAL(410, status("GET", "config?watch=1&wait_ms=0"));
  LONGS_EQUAL(200, status("GET", "config?watch=2&wait_ms=0"));
}
