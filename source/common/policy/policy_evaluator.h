/** @file Evaluates a service's policy periodically and caches its results. */
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
 * Caches the weights and the admit result of one service's policy. If the policy fails, the last
 * valid weights and the last valid admit result remain in effect. Not thread safe.
 */
class PolicyEvaluator {
 public:
  /** Minimum interval between evaluations of the weights, unless the hosts change. */
  static constexpr Duration kWeighInterval = std::chrono::seconds(1);
  /** Minimum interval between calls of admit; the last result is used in between. */
  static constexpr Duration kAdmitInterval = std::chrono::milliseconds(100);
  /** Weight of all hosts if there is no policy, and of a new host while the policy fails. */
  static constexpr uint8_t kDefaultWeight = 255;

  /** @param policy nullptr for equal weights. Takes effect at the next calls of evaluate() and
   * admits(). */
  void setPolicy(std::shared_ptr<CompiledPolicy> policy);

  /**
   * Evaluates the policy for all hosts if that is due.
   * @return whether the weights or the hosts changed.
   */
  bool evaluate(TimePoint now, const std::vector<HostView>& hosts, const ServiceView& service);

  /** @return the weight of each host of the last evaluate(), in the same order. */
  const std::vector<uint8_t>& weights() const { return weights_; }

  /** @return whether the service takes a new flow; true until the policy has returned false. */
  bool admits(TimePoint now, const ServiceView& service);

  /** @return number of failed evaluations since the policy was set. */
  uint64_t failures() const { return failures_; }
  /** @return the last error since the policy was set. */
  const std::optional<PolicyError>& lastError() const { return lastError_; }

 private:
  bool isDue(TimePoint now, const std::vector<HostView>& hosts) const;
  void updateHosts(const std::vector<HostView>& hosts);
  std::optional<std::vector<double>> weighAll(const std::vector<HostView>& hosts,
                                              const ServiceView& service);
  void recordFailure(const PolicyError& error);

  std::shared_ptr<CompiledPolicy> policy_;
  std::vector<std::string> hostNames_;
  std::vector<uint8_t> weights_;
  bool admitted_ = true;
  std::optional<TimePoint> lastWeighed_;
  std::optional<TimePoint> lastAdmitCall_;
  uint64_t failures_ = 0;
  std::optional<PolicyError> lastError_;
};

}  // namespace umberhold
