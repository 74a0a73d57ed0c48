/** @file Keeps the weights that a service's policy gives its hosts. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/policy/policy_engine.h"

namespace umberhold {

/**
 * Runs one service's policy now and then and keeps what it said last. A policy that fails changes
 * nothing: the last good weights and the last good answer to admit stay. Not thread safe.
 */
class PolicyEvaluator {
 public:
  /** Weights are taken again at most this often, unless the hosts change. */
  static constexpr Duration kWeighInterval = std::chrono::seconds(1);
  /** admit is asked at most this often; new flows in between get the last answer. */
  static constexpr Duration kAdmitInterval = std::chrono::milliseconds(100);
  /** Weight of every host without a policy, and of a new host while the policy fails. */
  static constexpr uint8_t kDefaultWeight = 255;

  /** @param policy nullptr for equal weights; takes effect at the next calls. */
  void setPolicy(std::shared_ptr<CompiledPolicy> policy);

  /**
   * Evaluates the policy over all hosts where that is due.
   * @return whether the weights or the hosts changed.
   */
  bool evaluate(TimePoint now, const std::vector<HostView>& hosts, const ServiceView& service);

  /** @return a weight for each host of the last evaluate(), in its order. */
  const std::vector<uint8_t>& weights() const { return weights_; }

  /** @return whether the service takes a new flow; true until the policy has once said otherwise.
   */
  bool admits(TimePoint now, const ServiceView& service);

  /** @return evaluations that failed since the policy was set. */
  uint64_t failures() const { return failures_; }
  /** @return the last failure since the policy was set. */
  const std::optional<PolicyError>& lastError() const { return lastError_; }

 private:
  bool isDue(TimePoint now, const std::vector<HostView>& hosts) const;
  void followHosts(const std::vector<HostView>& hosts);
  std::optional<std::vector<double>> weighAll(const std::vector<HostView>& hosts,
                                              const ServiceView& service);
  void noteFailure(const PolicyError& error);

  std::shared_ptr<CompiledPolicy> policy_;
  std::vector<std::string> hostNames_;
  std::vector<uint8_t> weights_;
  bool admitted_ = true;
  std::optional<TimePoint> lastWeighed_;
  std::optional<TimePoint> lastAsked_;
  uint64_t failures_ = 0;
  std::optional<PolicyError> lastError_;
};

}  // namespace umberhold
