/** @file A policy engine for tests that don't test policies. */
#pragma once

#include <memory>
#include <string>

#include "common/policy/policy_engine.h"

namespace umberhold {

/** Rejects sources that contain the word "broken"; gives all hosts the same weight. */
class FakePolicyEngine : public PolicyEngine {
 public:
  Result<std::unique_ptr<CompiledPolicy>, PolicyError> compile(const Policy& policy) override {
    if (policy.source.find("broken") != std::string::npos) {
      return PolicyError{PolicyErrorCode::kSyntax, 3, "unexpected symbol"};
    }
    return std::make_unique<EqualWeights>();
  }

 private:
  class EqualWeights : public CompiledPolicy {
   public:
    Result<double, PolicyError> weigh(const HostView& /*host*/,
                                      const ServiceView& /*service*/) override {
      return 1.0;
    }
    Result<bool, PolicyError> admit(const ServiceView& /*service*/) override { return true; }
  };
};

}  // namespace umberhold
