/** @file Tests that the policies in examples/policies compile and behave as documented. */
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "common/policy/lua_policy_engine.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

TEST_GROUP(ExamplePolicies) {
  HostView host;
  ServiceView service{"dispatch", 15, 15, 1000, 30000, 0.5};
  std::unique_ptr<CompiledPolicy> policy;

  void load(const std::string& name) {
    std::string path = __FILE__;
    path.resize(path.rfind("/test/"));
    path += "/examples/policies/" + name;
    std::ifstream file(path);
    CHECK_TEXT(file.good(), path.c_str());
    const std::string source{std::istreambuf_iterator<char>(file), {}};
    auto compiled = LuaPolicyEngine().compile(Policy{name, source});
    CHECK_TEXT(isOk(compiled), name.c_str());
    policy = std::move(valueOf(compiled));
  }

  double weigh() {
    return valueOf(policy->weigh(host, service));
  }
  bool admit() {
    return valueOf(policy->admit(service));
  }
  void setup() override {
    host.ageSeconds = 3600;
  }
};

TEST(ExamplePolicies, WeightedUsesTheOperatorsWeight) {
  load("weighted.lua");
  host.weight = 40;
  CHECK_EQUAL(40.0, weigh());
  host.draining = true;
  CHECK_EQUAL(0.0, weigh());
}

TEST(ExamplePolicies, LeastLoadPrefersIdleAndWarmHosts) {
  load("least_load.lua");
  const double idle = weigh();
  host.load = 0.8;
  const double busy = weigh();
  host.load = 3.0;
  const double overloaded = weigh();
  host.load = 0.0;
  host.ageSeconds = 15;
  const double cold = weigh();
  CHECK(idle > busy && busy > overloaded && overloaded > 0);
  DOUBLES_EQUAL(idle / 2, cold, 0.001);
  host.healthy = false;
  CHECK_EQUAL(0.0, weigh());
}

TEST(ExamplePolicies, ZoneFirstSpillsOnlyUnderLoad) {
  load("zone_first_with_spill.lua");
  host.sameZone = true;
  const double near = weigh();
  host.sameZone = false;
  const double far = weigh();
  CHECK(near > 50 * far);
  service.load = 1.0;
  const double spilled = weigh();
  CHECK(spilled > 50 * far);
  host.sameZone = true;
  host.load = 1.0;
  CHECK(weigh() < spilled);
}

TEST(ExamplePolicies, DrainReducesOldHostsAndStopsDrainingOnes) {
  load("drain.lua");
  CHECK_EQUAL(100.0, weigh());
  host.ageSeconds = 1.5 * 86400;
  DOUBLES_EQUAL(55.0, weigh(), 0.001);
  host.ageSeconds = 10 * 86400;
  DOUBLES_EQUAL(10.0, weigh(), 0.001);
  host.draining = true;
  CHECK_EQUAL(0.0, weigh());
}

TEST(ExamplePolicies, RefusesWhenSaturated) {
  load("refuse_when_saturated.lua");
  CHECK(admit());
  service.flows = 29000;
  CHECK_FALSE(admit());
  service.flows = 1000;
  service.healthyHosts = 0;
  CHECK_FALSE(admit());
  host.flows = host.connectionLimit;
  CHECK_EQUAL(0.0, weigh());
}
