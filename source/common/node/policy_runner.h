/** @file Runs the policies of the services of which this node holds shards. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/base/time.h"
#include "common/catalog/service_catalog.h"
#include "common/node/node_status.h"
#include "common/policy/policy_engine.h"
#include "common/policy/policy_evaluator.h"
#include "common/shard/shard_director.h"

namespace umberhold {

/**
 * Compiles policies when they are first used or change, and evaluates each service's policy, so
 * that its weights and its admit result take effect at the director. Services with the same policy
 * share one compiled policy. If a policy does not compile or fails, the last valid weights stay
 * effective. Not thread safe.
 */
class PolicyRunner {
 public:
  /** All are borrowed and must outlive the runner. */
  PolicyRunner(PolicyEngine& engine, const ServiceCatalog& catalog, ShardDirector& director)
      : engine_(engine), catalog_(catalog), director_(director) {}

  void onPolicyChanged(const Policy& policy);
  void onPolicyDeleted(const std::string& name);
  void onServiceDeleted(ServiceId service) { services_.erase(service); }

  /**
   * Runs due evaluations: each service's admit() at most every 500 ms, its weights at most once a
   * second unless its hosts change.
   */
  void tick(TimePoint now);

  /**
   * @return the result of the policy's weigh() for the host, or nothing if it cannot be evaluated.
   */
  std::optional<double> weigh(const std::string& policy, const HostView& host,
                              const ServiceView& service);
  /**
   * @return whether the policy's admit() accepts new flows, or nothing if it cannot be evaluated.
   */
  std::optional<bool> admits(const std::string& policy, const ServiceView& service);
  /** @return the status of all policies in use, for status queries and metrics. */
  std::vector<PolicyHealth> health() const;

 private:
  struct ServicePolicy {
    std::string policy;
    PolicyEvaluator evaluator;
    TimePoint nextEvaluation;
  };
  /** A compiled policy, or the error in its newest version. */
  struct Compiled {
    std::shared_ptr<CompiledPolicy> policy;
    std::optional<PolicyError> error;
  };

  /** @return the policy, compiled on first use; nullptr if unknown. */
  Compiled* compiled(const std::string& name);
  bool isInUse(const std::string& name) const;
  ServicePolicy& servicePolicy(ServiceId id, const std::string& policy);
  void evaluate(TimePoint now, ServiceId id, ServicePlacement& placement);

  PolicyEngine& engine_;
  const ServiceCatalog& catalog_;
  ShardDirector& director_;
  std::unordered_map<std::string, Compiled> compiled_;
  std::unordered_map<ServiceId, ServicePolicy> services_;
};

}  // namespace umberhold
