/**
 * @file The number of store calls that claims of addresses and hosts cost, and the takeover of a
 * failed writer's claim.
 */
#include <string>
#include <variant>

#include "common/admin/change_coordinator.h"
#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"
#include "test/support/fake_platform_store.h"
#include "test/support/manual_clock.h"
#include "test/support/service_builder.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {

TEST_GROUP_BASE(EndpointClaimCost, test::WithoutLeakDetection) {
  static constexpr uint8_t kHosts = 15;
  FakePlatformStore store;
  ManualClock clock;
  ChangeCoordinator coordinator{store, clock, 1};
  Service dispatch = makeService("dispatch", 1, kHosts);

  ChangeRequest changeTo(const Service& service, uint64_t base) {
    ChangeRequest request;
    request.name = service.name;
    request.expectedVersion = base;
    request.specification = formatService(service);
    request.requestId = "to-" + std::to_string(base) + service.name;
    request.summary = "apply";
    return request;
  }
  uint64_t accepted(const ChangeRequest& request) {
    const ChangeOutcome outcome = coordinator.submit(request);
    CHECK_TRUE(std::holds_alternative<ChangeAccepted>(outcome));
    return std::get<ChangeAccepted>(outcome).version;
  }
  uint32_t callsFor(const ChangeRequest& request) {
    const uint32_t before = store.calls;
    accepted(request);
    return store.calls - before;
  }
  size_t claimCount() {
    return valueOf(store.list(Collection::kClaims)).objects.size();
  }
};

TEST(EndpointClaimCost, CreationCostsOneCallPerAddressAndHost) {
  // The service is read and updated; one claim is written for its address and one for each host.
  CHECK_EQUAL(2 + 1 + kHosts, callsFor(changeTo(dispatch, 0)));
  CHECK_EQUAL(1 + kHosts, claimCount());
}

TEST(EndpointClaimCost, ChangeWithoutNewKeysCostsNoCall) {
  const uint64_t base = accepted(changeTo(dispatch, 0));
  dispatch.hosts[0].state = HostState::kDraining;
  CHECK_EQUAL(2, callsFor(changeTo(dispatch, base)));
}

TEST(EndpointClaimCost, AddedHostCostsOneCallAndRemovedHostTwo) {
  const uint64_t base = accepted(changeTo(dispatch, 0));
  dispatch.hosts[0].endpoint.port = 9999;
  // The service is read and updated; one claim is written; the other is read and removed.
  CHECK_EQUAL(2 + 1 + 2, callsFor(changeTo(dispatch, base)));
  CHECK_EQUAL(1 + kHosts, claimCount());
}

TEST(EndpointClaimCost, DeletionReleasesAllClaims) {
  ChangeRequest deletion = changeTo(dispatch, accepted(changeTo(dispatch, 0)));
  deletion.specification = kDeletionMarker;
  CHECK_EQUAL(2 + 2 * (1 + kHosts), callsFor(deletion));
  CHECK_EQUAL(0, claimCount());
}

TEST(EndpointClaimCost, TakesOverClaimOfFailedWriterAndItsDelayedChangeFails) {
  const Service lost = makeService("lost", 1, 0);
  // The claim is stored; the change itself is delayed, and its writer has failed.
  store.changeFaults = {StoreFault::kNone, StoreFault::kDelayed};
  store.readFaults = {StoreFault::kNone};
  store.readFaults.insert(store.readFaults.end(), 100, StoreFault::kUnavailable);
  CHECK_TRUE(std::holds_alternative<ChangeUnknown>(coordinator.submit(changeTo(lost, 0))));
  store.readFaults.clear();

  const TimePoint before = clock.now();
  accepted(changeTo(dispatch, 0));
  CHECK_TRUE(clock.now() - before >= std::chrono::milliseconds(1500));
  CHECK_TRUE(clock.now() - before < std::chrono::seconds(5));
  CHECK_EQUAL(0, store.deliverDelayed());
}

TEST(EndpointClaimCost, OldClaimDoesNotCoverNewCreation) {
  Service lost = makeService("lost", 1, 0);
  ChangeRequest deletion = changeTo(lost, accepted(changeTo(lost, 0)));
  deletion.specification = kDeletionMarker;
  // The claim is not removed: its release fails at the read.
  store.readFaults = {StoreFault::kNone, StoreFault::kUnavailable};
  const uint64_t deleted = accepted(deletion);
  CHECK_EQUAL(1, claimCount());

  ChangeRequest again = changeTo(lost, 0);
  again.requestId = "again";
  // Creating the claim fails; it is read and rewritten. The creation of the service is delayed.
  store.changeFaults = {StoreFault::kNone, StoreFault::kNone, StoreFault::kDelayed};
  store.readFaults = {StoreFault::kNone, StoreFault::kNone};
  store.readFaults.insert(store.readFaults.end(), 100, StoreFault::kUnavailable);
  CHECK_TRUE(std::holds_alternative<ChangeUnknown>(coordinator.submit(again)));
  store.readFaults.clear();
  const auto claims = store.list(Collection::kClaims);
  const auto claim = parseClaim(valueOf(claims).objects.front().specification);
  CHECK_TRUE(claim.has_value());
  CHECK_EQUAL(deleted, claim->base);

  accepted(changeTo(dispatch, 0));
  CHECK_EQUAL(0, store.deliverDelayed());
}

}  // namespace umberhold
