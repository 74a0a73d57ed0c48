#include "common/policy/policy_evaluator.h"

#include <algorithm>
#include <utility>

#include "common/policy/weight_bytes.h"

namespace umberhold {

void PolicyEvaluator::setPolicy(std::shared_ptr<CompiledPolicy> policy) {
  policy_ = std::move(policy);
  lastWeighed_.reset();
  lastAdmitCall_.reset();
  lastError_.reset();
  failures_ = 0;
  admitted_ = true;
}

bool PolicyEvaluator::evaluate(TimePoint now, const std::vector<HostView>& hosts,
                               const ServiceView& service) {
  if (!isDue(now, hosts)) {
    return false;
  }
  lastWeighed_ = now;
  const std::vector<uint8_t> weightsBefore = weights_;
  const std::vector<std::string> namesBefore = hostNames_;
  updateHosts(hosts);
  if (policy_ == nullptr) {
    weights_.assign(hosts.size(), kDefaultWeight);
  } else if (const auto raw = weighAll(hosts, service)) {
    weights_ = quantizeWeights(*raw, weights_);
  }
  return weights_ != weightsBefore || hostNames_ != namesBefore;
}

bool PolicyEvaluator::isDue(TimePoint now, const std::vector<HostView>& hosts) const {
  if (!lastWeighed_ || now - *lastWeighed_ >= kWeighInterval) {
    return true;
  }
  const auto sameName = [](const HostView& host, const std::string& name) {
    return host.name == name;
  };
  return !std::equal(hosts.begin(), hosts.end(), hostNames_.begin(), hostNames_.end(), sameName);
}

void PolicyEvaluator::updateHosts(const std::vector<HostView>& hosts) {
  std::vector<std::string> names;
  std::vector<uint8_t> weights;
  for (const HostView& host : hosts) {
    const auto found = std::find(hostNames_.begin(), hostNames_.end(), host.name);
    const bool isNew = found == hostNames_.end();
    weights.push_back(isNew ? kDefaultWeight
                            : weights_[static_cast<size_t>(found - hostNames_.begin())]);
    names.push_back(host.name);
  }
  hostNames_ = std::move(names);
  weights_ = std::move(weights);
}

std::optional<std::vector<double>> PolicyEvaluator::weighAll(const std::vector<HostView>& hosts,
                                                             const ServiceView& service) {
  std::vector<double> raw;
  raw.reserve(hosts.size());
  for (const HostView& host : hosts) {
    const auto weight = policy_->weigh(host, service);
    if (!isOk(weight)) {
      recordFailure(errorOf(weight));
      return std::nullopt;
    }
    raw.push_back(valueOf(weight));
  }
  return raw;
}

bool PolicyEvaluator::admits(TimePoint now, const ServiceView& service) {
  const bool due = !lastAdmitCall_ || now - *lastAdmitCall_ >= kAdmitInterval;
  if (policy_ == nullptr || !due) {
    return admitted_;
  }
  lastAdmitCall_ = now;
  const auto answer = policy_->admit(service);
  if (isOk(answer)) {
    admitted_ = valueOf(answer);
  } else {
    recordFailure(errorOf(answer));
  }
  return admitted_;
}

void PolicyEvaluator::recordFailure(const PolicyError& error) {
  ++failures_;
  lastError_ = error;
}

}  // namespace umberhold
