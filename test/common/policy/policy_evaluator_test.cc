/** @file Tests of the results that remain in effect when policies fail or hosts change. */
#include "common/policy/policy_evaluator.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Returns each host's static weight, or fails on demand. */
class SwitchedPolicy : public CompiledPolicy {
 public:
  Result<double, PolicyError> weigh(const HostView& host, const ServiceView&) override {
    ++calls;
    if (failing) {
      return PolicyError{PolicyErrorCode::kStepLimit, 3, "too many steps"};
    }
    return static_cast<double>(host.weight);
  }
  Result<bool, PolicyError> admit(const ServiceView&) override {
    ++calls;
    if (failing) {
      return PolicyError{};
    }
    return admitting;
  }
  bool failing = false;
  bool admitting = true;
  int calls = 0;
};

HostView host(const std::string& name, uint32_t weight) {
  HostView view;
  view.name = name;
  view.weight = weight;
  return view;
}

}  // namespace

TEST_GROUP(PolicyEvaluator) {
  TimePoint now{seconds(10)};
  std::shared_ptr<SwitchedPolicy> policy = std::make_shared<SwitchedPolicy>();
  PolicyEvaluator evaluator;
  std::vector<HostView> hosts = {host("a", 100), host("b", 50)};

  bool evaluate() {
    now += seconds(1);
    return evaluator.evaluate(now, hosts, {});
  }
  void checkWeights(const std::vector<uint8_t>& expected) {
    CHECK(expected == evaluator.weights());
  }
};

TEST(PolicyEvaluator, FailureKeepsTheLastValidWeights) {
  evaluator.setPolicy(policy);
  CHECK(evaluate());
  checkWeights({255, 128});
  policy->failing = true;
  hosts[0].weight = 10;
  CHECK_FALSE(evaluate());
  checkWeights({255, 128});
  CHECK_EQUAL(1U, evaluator.failures());
  CHECK(evaluator.lastError()->code == PolicyErrorCode::kStepLimit);
  CHECK_EQUAL(3U, evaluator.lastError()->line);
  // Hosts are added and removed; the remaining ones keep their weights.
  hosts = {host("c", 1), host("b", 50)};
  CHECK(evaluate());
  checkWeights({PolicyEvaluator::kDefaultWeight, 128});
  policy->failing = false;
  CHECK(evaluate());
  checkWeights({5, 255});
}

TEST(PolicyEvaluator, IgnoresSmallChangesAndLimitsTheEvaluationRate) {
  evaluator.setPolicy(policy);
  evaluate();
  hosts[1].weight = 54;
  CHECK_FALSE(evaluate());
  checkWeights({255, 128});
  hosts[1].weight = 100;
  const int calls = policy->calls;
  CHECK_FALSE(evaluator.evaluate(now + milliseconds(999), hosts, {}));
  CHECK_EQUAL(calls, policy->calls);
  CHECK(evaluate());
  checkWeights({255, 255});
  hosts[1].weight = 0;
  CHECK(evaluate());
  checkWeights({255, 0});
}

TEST(PolicyEvaluator, WithoutPolicyAllHostsAreEqual) {
  evaluate();
  checkWeights({255, 255});
  CHECK(evaluator.admits(now, {}));
}

TEST(PolicyEvaluator, FailureKeepsTheLastValidAdmitResult) {
  evaluator.setPolicy(policy);
  policy->failing = true;
  CHECK(evaluator.admits(now, {}));
  policy->failing = false;
  policy->admitting = false;
  CHECK(evaluator.admits(now + milliseconds(99), {}));
  CHECK_FALSE(evaluator.admits(now + milliseconds(100), {}));
  policy->failing = true;
  CHECK_FALSE(evaluator.admits(now + seconds(1), {}));
  CHECK_EQUAL(2U, evaluator.failures());
}
