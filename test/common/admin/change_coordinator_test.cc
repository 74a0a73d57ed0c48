#include "common/admin/change_coordinator.h"

#include <string>
#include <variant>

#include "common/platform/deletion_marker.h"
#include "test/support/fake_platform_store.h"
#include "test/support/manual_clock.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

constexpr uint64_t kSeed = 7;

ChangeRequest changeOf(const std::string& requestId, uint64_t expectedVersion) {
  ChangeRequest request;
  request.name = "dispatch";
  request.expectedVersion = expectedVersion;
  request.specification = "{\"by\":\"" + requestId + "\"}";
  request.requestId = requestId;
  request.author = "operator";
  request.summary = "apply " + requestId;
  return request;
}

}  // namespace

TEST_GROUP(ChangeCoordinator) {
  FakePlatformStore store;
  ManualClock clock;
  ChangeCoordinator coordinator{store, clock, kSeed};

  uint64_t accepted(const ChangeOutcome& outcome) {
    CHECK_TRUE(std::holds_alternative<ChangeAccepted>(outcome));
    return std::get<ChangeAccepted>(outcome).version;
  }

  uint64_t create() {
    return accepted(coordinator.submit(changeOf("create", 0)));
  }

  std::string specification() {
    const auto object = store.get(Collection::kServices, "dispatch");
    CHECK_TRUE(isOk(object));
    return valueOf(object).specification;
  }
};

TEST(ChangeCoordinator, AcceptsAppliedChangeAfterLostAnswer) {
  const uint64_t base = create();
  store.changeFaults = {StoreFault::kAnswerLost};
  CHECK_EQUAL(base + 1, accepted(coordinator.submit(changeOf("second", base))));
}

TEST(ChangeCoordinator, RetriesLostRequest) {
  const uint64_t base = create();
  store.changeFaults = {StoreFault::kRequestLost, StoreFault::kRequestLost};
  CHECK_EQUAL(base + 1, accepted(coordinator.submit(changeOf("second", base))));
}

TEST(ChangeCoordinator, DelayedRequestIsNotAppliedTwice) {
  const uint64_t base = create();
  store.changeFaults = {StoreFault::kDelayed};
  accepted(coordinator.submit(changeOf("second", base)));
  CHECK_EQUAL(0, store.deliverDelayed());
}

TEST(ChangeCoordinator, DelayedCreationDoesNotUndoDeletion) {
  store.changeFaults = {StoreFault::kDelayed};
  const uint64_t base = create();
  ChangeRequest deletion = changeOf("delete", base);
  deletion.specification = kDeletionMarker;
  accepted(coordinator.submit(deletion));
  CHECK_EQUAL(0, store.deliverDelayed());
  CHECK_FALSE(isOk(coordinator.read(Collection::kServices, "dispatch")));
}

TEST(ChangeCoordinator, ReportsConflictingChangeAfterLostRequest) {
  const uint64_t base = create();
  store.changeFaults = {StoreFault::kDelayed};
  // The other operator's change is applied after the first read and update, before the second read.
  store.beforeCall = [&] {
    store.beforeCall = [&] {
      store.beforeCall = [&] { accepted(coordinator.submit(changeOf("other", base))); };
    };
  };
  const ChangeOutcome outcome = coordinator.submit(changeOf("ours", base));
  CHECK_TRUE(std::holds_alternative<ChangeConflict>(outcome));
  CHECK_EQUAL(base + 1, std::get<ChangeConflict>(outcome).currentVersion);
  CHECK_TRUE(std::get<ChangeConflict>(outcome).lastChange->requestId == "other");
  CHECK_EQUAL(0, store.deliverDelayed());
}

TEST(ChangeCoordinator, AcceptsAppliedChangeFollowedByAnother) {
  const uint64_t base = create();
  store.changeFaults = {StoreFault::kAnswerLost};
  store.beforeCall = [&] {
    store.beforeCall = [&] {
      store.beforeCall = [&] { accepted(coordinator.submit(changeOf("other", base + 1))); };
    };
  };
  CHECK_EQUAL(base + 2, accepted(coordinator.submit(changeOf("ours", base))));
}

TEST(ChangeCoordinator, ReportsUnavailableStoreWithinDeadline) {
  const uint64_t base = create();
  store.changeFaults.assign(100, StoreFault::kUnavailable);
  const TimePoint start = clock.now();
  const ChangeOutcome outcome = coordinator.submit(changeOf("second", base));
  CHECK_TRUE(std::holds_alternative<ChangeUnavailable>(outcome));
  CHECK_TRUE(std::get<ChangeUnavailable>(outcome).retryAfter > Duration::zero());
  CHECK_TRUE(clock.now() - start <= ChangeLimits{}.deadline);
  STRCMP_EQUAL("{\"by\":\"create\"}", specification().c_str());
}

TEST(ChangeCoordinator, ChangesShareOneRetryBudget) {
  ChangeLimits limits;
  limits.retries = {3, std::chrono::hours(1)};
  ChangeCoordinator limited(store, clock, kSeed, limits);
  store.readFaults.assign(100, StoreFault::kUnavailable);
  limited.submit(changeOf("first", 0));
  limited.submit(changeOf("second", 0));
  constexpr uint32_t kFirstAttempts = 2;
  CHECK_EQUAL(kFirstAttempts + limits.retries.burst, store.calls);
}

TEST(ChangeCoordinator, ReportsUnknownOutcomeWithRequestId) {
  const uint64_t base = create();
  store.changeFaults = {StoreFault::kAnswerLost};
  store.readFaults = {StoreFault::kNone};
  store.readFaults.resize(100, StoreFault::kUnavailable);
  const ChangeOutcome outcome = coordinator.submit(changeOf("second", base));
  CHECK_TRUE(std::holds_alternative<ChangeUnknown>(outcome));
  STRCMP_EQUAL("second", std::get<ChangeUnknown>(outcome).requestId.c_str());

  store.readFaults.clear();
  CHECK_TRUE(isOk(coordinator.find(Collection::kServices, "dispatch", "second")));
  CHECK_TRUE(isOk(coordinator.findAnywhere("second")));
}

TEST(ChangeCoordinator, AcceptsRetryOfAppliedChangeWithoutApplyingItAgain) {
  const uint64_t base = create();
  const uint64_t version = accepted(coordinator.submit(changeOf("second", base)));
  CHECK_EQUAL(version, accepted(coordinator.submit(changeOf("second", base), true)));
}

TEST(ChangeCoordinator, RetryWhileStoreIsDownStaysUnknown) {
  store.readFaults.assign(100, StoreFault::kUnavailable);
  const ChangeOutcome outcome = coordinator.submit(changeOf("second", 1), true);
  CHECK_TRUE(std::holds_alternative<ChangeUnknown>(outcome));
}

TEST(ChangeCoordinator, RetryOfChangeEvictedFromHistoryIsUnknown) {
  const uint64_t base = create();
  uint64_t version = accepted(coordinator.submit(changeOf("second", base)));
  for (size_t later = 0; later < kHistoryLength; ++later) {
    version = accepted(coordinator.submit(changeOf("later" + std::to_string(later), version)));
  }
  const ChangeOutcome outcome = coordinator.submit(changeOf("second", base), true);
  CHECK_TRUE(std::holds_alternative<ChangeUnknown>(outcome));
}

TEST(ChangeCoordinator, ReportsConflictWithLongHistory) {
  uint64_t version = create();
  for (size_t earlier = 0; earlier < 2 * kHistoryLength; ++earlier) {
    version = accepted(coordinator.submit(changeOf("earlier" + std::to_string(earlier), version)));
  }
  accepted(coordinator.submit(changeOf("other", version)));
  const ChangeOutcome outcome = coordinator.submit(changeOf("ours", version), true);
  CHECK_TRUE(std::holds_alternative<ChangeConflict>(outcome));
}

TEST(ChangeCoordinator, RejectsRequestIdOfAnotherChange) {
  const uint64_t base = create();
  ChangeRequest other = changeOf("create", base);
  other.summary = "something else";
  const ChangeOutcome outcome = coordinator.submit(other);
  CHECK_TRUE(std::holds_alternative<ChangeRefused>(outcome));
  CHECK_TRUE(std::get<ChangeRefused>(outcome).reason == ChangeRefusal::kRequestIdReused);
}

}  // namespace umberhold
