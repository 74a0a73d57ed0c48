#include "common/admin/validation.h"

#include <algorithm>
#include <string>
#include <vector>

#include "test/support/fake_policy_engine.h"
#include "test/support/service_builder.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

constexpr UnixSeconds kNow = 1'790'000'000;

class ListedConfiguration : public KnownConfiguration {
 public:
  std::vector<Service> services;
  bool readable = true;

  Result<Ok, ConfigurationUnreadable> forEachService(
      const std::function<void(const Service&)>& visitor) const override {
    if (!readable) {
      return ConfigurationUnreadable{"busy"};
    }
    std::for_each(services.begin(), services.end(), visitor);
    return Ok{};
  }
  Result<bool, ConfigurationUnreadable> hasPolicy(const std::string& name) const override {
    return name == "known";
  }
};

bool has(const ValidationErrors& errors, ValidationCode code, const std::string& field) {
  return std::any_of(errors.begin(), errors.end(), [&](const ValidationError& error) {
    return error.code == code && error.field == field;
  });
}

}  // namespace

TEST_GROUP(Validation) {
  ListedConfiguration known;
  Service service = makeService("dispatch", 1, 3);
  ValidationOptions options{kNow, false};

  ValidationErrors check(const Service* current = nullptr) {
    const auto result = validateService(service, current, known, options);
    CHECK_TRUE(isOk(result));
    return valueOf(result);
  }
  void checkOnly(ValidationCode code, const std::string& field, const Service* current = nullptr) {
    const ValidationErrors errors = check(current);
    CHECK_EQUAL(1, errors.size());
    CHECK_TRUE(has(errors, code, field));
    STRCMP_EQUAL("dispatch", errors.front().object.name.c_str());
  }
};

TEST(Validation, AcceptsNewAndUnchangedService) {
  known.services = {service, makeService("mapstore", 2, 4)};
  CHECK_EQUAL(0, check().size());
  CHECK_EQUAL(0, check(&service).size());
}

TEST(Validation, RejectsAddressOfAnotherService) {
  Service other = makeService("mapstore", 2, 1);
  other.address = service.address;
  known.services = {other};
  checkOnly(ValidationCode::kAddressInUse, "address");
}

TEST(Validation, AcceptsSameAddressWithAnotherProtocol) {
  Service other = makeService("mapstore", 2, 1);
  other.address = service.address;
  other.protocol = TransportProtocol::kUdp;
  known.services = {other};
  CHECK_EQUAL(0, check().size());
}

TEST(Validation, RejectsHostOfAnotherService) {
  Service other = makeService("mapstore", 2, 2);
  other.hosts[1].endpoint = service.hosts[2].endpoint;
  known.services = {other};
  checkOnly(ValidationCode::kHostEndpointInUse, "hosts[2].address");
}

TEST(Validation, RejectsDuplicateHosts) {
  service.hosts[2].name = service.hosts[0].name;
  service.hosts[1].endpoint = service.hosts[0].endpoint;
  const ValidationErrors errors = check();
  CHECK_EQUAL(2, errors.size());
  CHECK_TRUE(has(errors, ValidationCode::kDuplicateHostName, "hosts[2].name"));
  CHECK_TRUE(has(errors, ValidationCode::kDuplicateHostEndpoint, "hosts[1].address"));
}

TEST(Validation, AcceptsEitherGroupsOrHosts) {
  service.groups = {{"dispatch-hosts", 90}, {"map-hosts", 10}};
  checkOnly(ValidationCode::kInvalidGroups, "groups");
  service.hosts.clear();
  CHECK_EQUAL(0, check().size());
  service.groups[1].pool = "dispatch-hosts";
  checkOnly(ValidationCode::kInvalidGroups, "groups[1].pool");
  service.groups[1] = {"map-hosts", kMaxGroupShare + 1};
  checkOnly(ValidationCode::kOutOfRange, "groups[1].share");
}

TEST(Validation, ChecksHostsOfPool) {
  HostPool pool{"dispatch-hosts", service.hosts};
  CHECK_EQUAL(0, validateHostPool(pool).size());
  pool.hosts[1].name = pool.hosts[0].name;
  CHECK_TRUE(has(validateHostPool(pool), ValidationCode::kDuplicateHostName, "hosts[1].name"));
}

TEST(Validation, RejectsNamesAndNumbersOutOfRange) {
  service.shardCount = kMaxShards + 1;
  service.idleTimeoutSeconds = kMinIdleTimeoutSeconds - 1;
  service.port = 0;
  service.hosts[0].name = "Dispatch_1";
  service.hosts[0].connectionLimit = 0;
  const ValidationErrors errors = check();
  CHECK_TRUE(has(errors, ValidationCode::kOutOfRange, "shards"));
  CHECK_TRUE(has(errors, ValidationCode::kOutOfRange, "idle_timeout_seconds"));
  CHECK_TRUE(has(errors, ValidationCode::kInvalidEndpoint, "address"));
  CHECK_TRUE(has(errors, ValidationCode::kInvalidName, "hosts[0].name"));
  CHECK_TRUE(has(errors, ValidationCode::kOutOfRange, "hosts[0].connection_limit"));
  CHECK_EQUAL(5, errors.size());
}

TEST(Validation, RejectsTooManyHosts) {
  service.hosts.resize(kMaxHosts + 1);
  checkOnly(ValidationCode::kTooManyHosts, "hosts");
}

TEST(Validation, RejectsUnknownPolicy) {
  service.policy = "unheard-of";
  checkOnly(ValidationCode::kUnknownPolicy, "policy");
  service.policy = "known";
  CHECK_EQUAL(0, check().size());
}

TEST(Validation, RejectsRemovalOfHostBeforeDrainDeadline) {
  Service current = service;
  service.hosts.pop_back();
  checkOnly(ValidationCode::kHostNotDrained, "hosts", &current);

  current.hosts.back().state = HostState::kDraining;
  current.hosts.back().drainDeadline = kNow + 1;
  checkOnly(ValidationCode::kHostNotDrained, "hosts", &current);

  current.hosts.back().drainDeadline = kNow;
  CHECK_EQUAL(0, check(&current).size());
}

TEST(Validation, RejectsChangeOfHostEndpoint) {
  const Service current = service;
  service.hosts[0].endpoint.port += 1;
  checkOnly(ValidationCode::kHostNotDrained, "hosts", &current);
}

TEST(Validation, RejectsCuttingFlowsUnlessForced) {
  const Service current = service;
  service.shardCount += 1;
  checkOnly(ValidationCode::kImmutableField, "shards", &current);
  options.mayCutFlows = true;
  CHECK_EQUAL(0, check(&current).size());
}

TEST(Validation, RejectsDeletionOfServiceWithActiveHosts) {
  CHECK_EQUAL(3, validateServiceDeletion(service, options).size());
  for (HostSpec& host : service.hosts) {
    host.state = HostState::kDraining;
  }
  CHECK_EQUAL(0, validateServiceDeletion(service, options).size());
}

TEST(Validation, ReportsUnreadableConfiguration) {
  known.readable = false;
  CHECK_FALSE(isOk(validateService(service, nullptr, known, options)));
}

TEST(Validation, RejectsPolicyThatDoesNotCompileOrIsTooLong) {
  FakePolicyEngine engine;
  CHECK_EQUAL(0, validatePolicy({"spread", "function weigh() end"}, engine).size());
  CHECK_TRUE(
      has(validatePolicy({"spread", "broken"}, engine), ValidationCode::kPolicyInvalid, "source"));
  const std::string tooLong(kMaxPolicyBytes + 1, ' ');
  CHECK_TRUE(
      has(validatePolicy({"spread", tooLong}, engine), ValidationCode::kPolicyTooLong, "source"));
}

TEST(Validation, RejectsDeletionOfPolicyInUse) {
  service.policy = "known";
  known.services = {service};
  CHECK_EQUAL(1, valueOf(validatePolicyDeletion("known", known)).size());
  CHECK_EQUAL(0, valueOf(validatePolicyDeletion("other", known)).size());
}

}  // namespace umberhold
