#include "common/node/policy_runner.h"

#include <algorithm>
#include <utility>

namespace umberhold {
namespace {

/**
 * Minimum interval between evaluations of a service's policy; the evaluator applies a longer one to
 * the weights.
 */
constexpr Duration kEvaluationInterval = std::chrono::milliseconds(500);

}  // namespace

void PolicyRunner::onPolicyChanged(const Policy& policy) {
  if (!isInUse(policy.name) && !compiled_.contains(policy.name)) {
    return;  // Compiled on first use by a service.
  }
  Compiled& entry = compiled_[policy.name];
  auto result = engine_.compile(policy);
  if (!isOk(result)) {
    entry.error = errorOf(result);
    return;
  }
  entry.policy = std::move(valueOf(result));
  entry.error.reset();
  for (auto& [id, service] : services_) {
    if (service.policy == policy.name) {
      service.evaluator.setPolicy(entry.policy);
      service.nextEvaluation = TimePoint{};
    }
  }
}

bool PolicyRunner::isInUse(const std::string& name) const {
  return std::any_of(services_.begin(), services_.end(),
                     [&name](const auto& entry) { return entry.second.policy == name; });
}

void PolicyRunner::onPolicyDeleted(const std::string& name) {
  compiled_.erase(name);
}

PolicyRunner::Compiled* PolicyRunner::compiled(const std::string& name) {
  const auto known = compiled_.find(name);
  if (known != compiled_.end()) {
    return &known->second;
  }
  const Policy* policy = catalog_.findPolicy(name);
  if (policy == nullptr) {
    return nullptr;
  }
  Compiled& entry = compiled_[name];
  auto result = engine_.compile(*policy);
  if (isOk(result)) {
    entry.policy = std::move(valueOf(result));
  } else {
    entry.error = errorOf(result);
  }
  return &entry;
}

PolicyRunner::ServicePolicy& PolicyRunner::servicePolicy(ServiceId id, const std::string& policy) {
  const auto [entry, isNew] = services_.try_emplace(id);
  ServicePolicy& service = entry->second;
  if (isNew || service.policy != policy) {
    service.policy = policy;
    const Compiled* known = policy.empty() ? nullptr : compiled(policy);
    service.evaluator.setPolicy(known == nullptr ? nullptr : known->policy);
  }
  return service;
}

void PolicyRunner::tick(TimePoint now) {
  director_.forEachPlacement([this, now](ServiceId id, ServicePlacement& placement) {
    const Service* service = catalog_.find(id);
    if (service == nullptr) {
      return;
    }
    ServicePolicy& policy = servicePolicy(id, service->policy);
    if (now >= policy.nextEvaluation) {
      policy.nextEvaluation = now + kEvaluationInterval;
      evaluate(now, id, placement);
    }
  });
}

void PolicyRunner::evaluate(TimePoint now, ServiceId id, ServicePlacement& placement) {
  PolicyEvaluator& evaluator = services_.at(id).evaluator;
  const ServiceView view = placement.serviceView(now);
  if (evaluator.evaluate(now, placement.hostViews(now), view)) {
    placement.setWeights(evaluator.weights());
  }
  director_.setAdmitting(id, evaluator.admits(now, view));
}

std::optional<double> PolicyRunner::weigh(const std::string& policy, const HostView& host,
                                          const ServiceView& service) {
  const Compiled* known = policy.empty() ? nullptr : compiled(policy);
  if (known == nullptr || known->policy == nullptr) {
    return std::nullopt;
  }
  const auto weight = known->policy->weigh(host, service);
  return isOk(weight) ? std::optional<double>(valueOf(weight)) : std::nullopt;
}

std::optional<bool> PolicyRunner::admits(const std::string& policy, const ServiceView& service) {
  const Compiled* known = policy.empty() ? nullptr : compiled(policy);
  if (known == nullptr || known->policy == nullptr) {
    return std::nullopt;
  }
  const auto admitted = known->policy->admit(service);
  return isOk(admitted) ? std::optional<bool>(valueOf(admitted)) : std::nullopt;
}

std::vector<PolicyHealth> PolicyRunner::health() const {
  std::vector<PolicyHealth> all;
  for (const auto& [name, known] : compiled_) {
    PolicyHealth health;
    health.policy = name;
    health.lastError = known.error;
    for (const auto& [id, service] : services_) {
      if (service.policy != name) {
        continue;
      }
      health.failures += service.evaluator.failures();
      if (service.evaluator.lastError()) {
        health.lastError = service.evaluator.lastError();
      }
    }
    all.push_back(std::move(health));
  }
  return all;
}

}  // namespace umberhold
