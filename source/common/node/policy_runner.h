/** @file Runs the policies of the services that this node owns shards of. */
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
 * Compiles policies as they arrive and evaluates each service's policy, so that its weights and its
 * admit answer are effective at the director. One compiled policy serves all services that name it.
 * A policy that does not compile, or that fails, leaves the last good weights. Not thread safe.
 */
class PolicyRunner {
 public:
  /** All are borrowed and must outlive the runner. */
  PolicyRunner(PolicyEngine& engine, const ServiceCatalog& catalog, ShardDirector& director)
      : engine_(engine), catalog_(catalog), director_(director) {}

  void onPolicyChanged(const Policy& policy);
  void onPolicyDeleted(const std::string& name);
  void onServiceDeleted(ServiceId service) { services_.erase(service); }

  /** Evaluates what is due; each service at most once a second, spread over the calls. */
  void tick(TimePoint now);

  /** @return what the policy's weigh said of the host, or nothing where it can't be evaluated. */
  std::optional<double> weigh(const std::string& policy, const HostView& host,
                              const ServiceView& service);
  /** @return whether the policy's admit takes new flows, or nothing where it can't be evaluated. */
  std::optional<bool> admits(const std::string& policy, const ServiceView& service);
  /** @return failures of all policies in use, for status and metrics. */
  std::vector<PolicyHealth> health() const;

 private:
  struct ServicePolicy {
    std::string policy;
    PolicyEvaluator evaluator;
    TimePoint nextEvaluation;
  };
  /** A compiled policy, or what was wrong with its newest version. */
  struct Compiled {
    std::shared_ptr<CompiledPolicy> policy;
    std::optional<PolicyError> error;
  };

  /** @return the policy, compiled now where it is needed for the first time; nullptr if unknown. */
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
