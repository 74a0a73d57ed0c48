#include "common/admin/admin_api.h"

#include <string>
#include <vector>

#include "common/platform/object_json.h"
#include "test/support/fake_node_status.h"
#include "test/support/fake_platform_store.h"
#include "test/support/fake_policy_engine.h"
#include "test/support/manual_clock.h"
#include "test/support/service_builder.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {

// The library's generator of request ids is a singleton that is never freed.
TEST_GROUP_BASE(AdminApi, test::WithoutLeakDetection) {
  FakePlatformStore store;
  ManualClock clock;
  FakeNodeStatus node;
  FakePolicyEngine policies;
  ChangeCoordinator changes{store, clock, 1};
  AdminApi api{"secret", store, changes, node, policies, clock};
  Service dispatch = makeService("dispatch", 1, 2);

  AdminRequest makeRequest(const std::string& method, const std::string& path,
                           std::vector<QueryParameter> query = {}) {
    AdminRequest request;
    request.method = method;
    request.path = path;
    request.query = std::move(query);
    request.authorization = "Bearer secret";
    return request;
  }
  AdminRequest makePut(const Service& service, const std::string& ifMatch) {
    AdminRequest request = makeRequest("PUT", "/v1/services/" + service.name);
    request.body = formatService(service);
    request.ifMatch = ifMatch;
    return request;
  }
  void expect(int status, const std::string& part, const AdminResponse& response) {
    CHECK_EQUAL(status, response.status);
    STRCMP_CONTAINS(part.c_str(), response.body.c_str());
  }
  /** @return the service's version in the store, as If-Match takes it. */
  std::string storedVersion() {
    const auto object = store.get(Collection::kServices, "dispatch");
    CHECK_TRUE(isOk(object));
    return std::to_string(valueOf(object).version);
  }
  Service stored() {
    const auto object = store.get(Collection::kServices, "dispatch");
    CHECK_TRUE(isOk(object));
    return valueOf(parseService("dispatch", valueOf(object).specification));
  }
};

TEST(AdminApi, RejectsMissingOrWrongToken) {
  AdminRequest request = makeRequest("GET", "/v1/status");
  for (const char* header : {"", "Bearer ", "Bearer secre", "Bearer secrett", "Basic secret"}) {
    request.authorization = header;
    expect(401, "unauthorized", api.handle(request));
  }
  AdminApi withoutToken("", store, changes, node, policies, clock);
  request.authorization = "Bearer ";
  expect(401, "unauthorized", withoutToken.handle(request));
}

TEST(AdminApi, ReportsTypedErrorsForUnknownPathsAndMethods) {
  expect(404, "not_found", api.handle(makeRequest("GET", "/v1/nothing")));
  expect(404, "not_found", api.handle(makeRequest("GET", "/")));
  expect(405, "method_not_allowed", api.handle(makeRequest("POST", "/v1/services/dispatch")));
}

TEST(AdminApi, RejectsSecondCreation) {
  expect(200, "\"outcome\":\"accepted\"", api.handle(makePut(dispatch, "0")));
  expect(409, "\"current_version\":" + storedVersion(), api.handle(makePut(dispatch, "0")));
}

TEST(AdminApi, RequiresBaseVersionForChanges) {
  expect(428, "version_required", api.handle(makePut(dispatch, "")));
  expect(400, "bad_request", api.handle(makePut(dispatch, "soon")));
  CHECK_EQUAL(0, store.events().size());
}

TEST(AdminApi, RejectsInvalidServiceAndReportsEveryError) {
  node.addService(makeService("mapstore", 2, 1), 1);
  node.addService(makeService("fleet", 3, 1), 2);
  node.addService(makeService("docs", 1, 1), 3);
  const AdminResponse response = api.handle(makePut(dispatch, "0"));
  expect(422, "address_in_use", response);
  STRCMP_CONTAINS("host_endpoint_in_use", response.body.c_str());
  CHECK_EQUAL(0, store.events().size());
}

TEST(AdminApi, ReportsLocationOfSpecificationError) {
  AdminRequest request = makePut(dispatch, "0");
  request.body = "{\"region\":\"addis\",\"colour\":\"red\"}";
  expect(422, "error", api.handle(request));
  CHECK_EQUAL(0, store.events().size());
}

TEST(AdminApi, DryRunReportsChangesWithoutApplyingThem) {
  api.handle(makePut(dispatch, "0"));
  dispatch.hosts[1].weight = 50;
  AdminRequest request = makePut(dispatch, "");
  request.query = {{"dry_run", "true"}};
  expect(200, "\"field\":\"hosts[dispatch-1].weight\"", api.handle(request));
  CHECK_EQUAL(1, store.events().size());
}

TEST(AdminApi, ReportsHolderOfAddressToSecondClaimant) {
  expect(200, "accepted", api.handle(makePut(dispatch, "0")));
  Service competitor = makeService("rival", 1, 0);
  expect(422, "address_in_use", api.handle(makePut(competitor, "0")));
  competitor.address += 100;
  competitor.hosts = {dispatch.hosts[1]};
  const AdminResponse response = api.handle(makePut(competitor, "0"));
  expect(422, "host_endpoint_in_use", response);
  STRCMP_CONTAINS("service 'dispatch'", response.body.c_str());
  CHECK_EQUAL(1, store.events().size());
}

TEST(AdminApi, ReleasesAddressImmediatelyOnServiceDeletion) {
  api.handle(makePut(dispatch, "0"));
  AdminRequest request = makeRequest("DELETE", "/v1/services/dispatch", {{"force", "true"}});
  request.ifMatch = storedVersion();
  expect(200, "accepted", api.handle(request));
  CHECK_EQUAL(0, valueOf(store.list(Collection::kClaims)).objects.size());
  Service heir = makeService("heir", 1, 2);
  expect(200, "accepted", api.handle(makePut(heir, "0")));
}

TEST(AdminApi, BusyNodeRespondsWithRetryAfter) {
  node.busy = true;
  const AdminResponse response = api.handle(makePut(dispatch, "0"));
  expect(503, "unavailable", response);
  CHECK_TRUE(response.retryAfterSeconds.has_value());
  CHECK_EQUAL(0, store.events().size());
}

TEST(AdminApi, RejectsChangesWhileNodeIsCatchingUp) {
  node.readiness = NodeReadiness::kCatchingUp;
  expect(503, "unavailable", api.handle(makePut(dispatch, "0")));
  CHECK_EQUAL(0, store.events().size());
}

TEST(AdminApi, RespondsWithRetryAfterWhileStoreIsDown) {
  store.readFaults.assign(100, StoreFault::kUnavailable);
  const AdminResponse response = api.handle(makePut(dispatch, "0"));
  expect(503, "unavailable", response);
  CHECK_TRUE(response.retryAfterSeconds.has_value());
}

TEST(AdminApi, ReportsUnknownOutcomeForUnresolvedRetry) {
  store.readFaults.assign(100, StoreFault::kUnavailable);
  AdminRequest request = makePut(dispatch, "0");
  request.requestId = "first";
  request.query = {{"repeated", "true"}};
  expect(504, "outcome_unknown", api.handle(request));
}

TEST(AdminApi, AcceptsRetryOfAppliedChangeWithoutValidation) {
  AdminRequest request = makePut(dispatch, "0");
  request.requestId = "first";
  api.handle(request);
  request.query = {{"repeated", "true"}};
  expect(200, "accepted", api.handle(request));
  expect(200, "\"outcome\":\"accepted\"", api.handle(makeRequest("GET", "/v1/requests/first")));
  CHECK_EQUAL(1, store.events().size());
}

TEST(AdminApi, DrainPreservesConcurrentChange) {
  api.handle(makePut(dispatch, "0"));
  dispatch.hosts[1].weight = 7;
  const std::string version = storedVersion();
  // The other change is applied between the read and the update of the drain.
  store.beforeCall = [&] { store.beforeCall = [&] { api.handle(makePut(dispatch, version)); }; };
  AdminRequest request = makeRequest("POST", "/v1/services/dispatch/hosts/dispatch-0/drain");
  request.body = "{\"deadline_seconds\":60}";
  expect(200, "accepted", api.handle(request));
  const Service after = stored();
  CHECK_TRUE(after.hosts[0].state == HostState::kDraining);
  CHECK_EQUAL(clock.unixNow() + 60, after.hosts[0].drainDeadline);
  CHECK_EQUAL(7, after.hosts[1].weight);

  expect(200, "accepted",
         api.handle(makeRequest("POST", "/v1/services/dispatch/hosts/dispatch-0/undrain")));
  CHECK_TRUE(stored().hosts[0].state == HostState::kActive);
}

TEST(AdminApi, RejectsDrainOfUnknownHostOrWithInvalidDeadline) {
  api.handle(makePut(dispatch, "0"));
  expect(404, "not_found",
         api.handle(makeRequest("POST", "/v1/services/dispatch/hosts/none/drain")));
  AdminRequest request = makeRequest("POST", "/v1/services/dispatch/hosts/dispatch-0/drain");
  request.body = "{\"deadline_seconds\":-1}";
  expect(400, "bad_request", api.handle(request));
  CHECK_EQUAL(1, store.events().size());
}

TEST(AdminApi, DeletesServiceAndKeepsChangeInHistory) {
  api.handle(makePut(dispatch, "0"));
  AdminRequest request = makeRequest("DELETE", "/v1/services/dispatch");
  request.ifMatch = storedVersion();
  expect(422, "host_not_drained", api.handle(request));
  request.query = {{"force", "true"}};
  expect(200, "accepted", api.handle(request));
  expect(404, "not_found", api.handle(makeRequest("GET", "/v1/services/dispatch")));
  expect(200, "\"summary\":\"delete\"", api.handle(makeRequest("GET", "/v1/history")));
}

TEST(AdminApi, RejectsDeletionOfPolicyInUseAndInvalidPolicy) {
  AdminRequest request = makeRequest("PUT", "/v1/policies/spread");
  request.body = formatPolicy({"spread", "broken"});
  request.ifMatch = "0";
  expect(422, "policy_invalid", api.handle(request));
  request.body = formatPolicy({"spread", "function weigh(host) return 1 end"});
  expect(200, "accepted", api.handle(request));

  dispatch.policy = "spread";
  node.addService(dispatch, 9);
  AdminRequest deletion = makeRequest("DELETE", "/v1/policies/spread");
  deletion.ifMatch = "1";
  expect(422, "policy_in_use", api.handle(deletion));
}

TEST(AdminApi, AcceptsServiceWithStoredButNotYetEffectivePolicy) {
  dispatch.policy = "spread";
  expect(422, "unknown_policy", api.handle(makePut(dispatch, "0")));
  AdminRequest request = makeRequest("PUT", "/v1/policies/spread");
  request.body = formatPolicy({"spread", "function weigh(host) return 1 end"});
  request.ifMatch = "0";
  api.handle(request);
  expect(200, "accepted", api.handle(makePut(dispatch, "0")));
}

TEST(AdminApi, ReadsFromNodeWhileStoreIsDown) {
  node.addService(dispatch, 4);
  store.readFaults.assign(100, StoreFault::kUnavailable);
  expect(200, "\"source\":\"node\"", api.handle(makeRequest("GET", "/v1/services/dispatch")));
  expect(200, "\"name\":\"dispatch\"", api.handle(makeRequest("GET", "/v1/services")));
}

TEST(AdminApi, ReportsCoverageOfVersion) {
  node.coverageNow.nodes = 6;
  node.coverageNow.nodesAtVersion = 5;
  expect(200, "applied on 5 of 6",
         api.handle(makeRequest("GET", "/v1/coverage", {{"version", "12"}})));
  expect(400, "bad_request", api.handle(makeRequest("GET", "/v1/coverage")));
  expect(200, "\"readiness\":\"ready\"", api.handle(makeRequest("GET", "/v1/status")));
}

TEST(AdminApi, ExplainsFlow) {
  expect(200, "\"host\":\"dispatch-1\"",
         api.handle(makeRequest("GET", "/v1/explain",
                                {{"service", "dispatch"}, {"caller", "10.9.0.1:4000"}})));
  expect(400, "bad_request",
         api.handle(makeRequest("GET", "/v1/explain", {{"service", "dispatch"}})));
}

}  // namespace umberhold
