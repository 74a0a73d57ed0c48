/** @file Tracks disturbances of nodes, hosts and the store; time bounds apply only without them. */
#pragma once

#include <map>
#include <string>

#include "common/base/time.h"

namespace umberhold::soak {

/** Disturbances by target. Not thread safe. */
class DisturbanceTracker {
 public:
  /** @param settleTime time without disturbance after which the bounds apply to a target. */
  explicit DisturbanceTracker(Duration settleTime) : settleTime_(settleTime) {}

  void begin(const std::string& target, TimePoint now) {
    Disturbance& disturbance = targets_[target];
    ++disturbance.active;
    disturbance.changedAt = now;
  }
  void end(const std::string& target, TimePoint now) {
    Disturbance& disturbance = targets_[target];
    --disturbance.active;
    disturbance.changedAt = now;
  }
  /** Records an instantaneous disturbance. */
  void recordInstant(const std::string& target, TimePoint now) { targets_[target].changedAt = now; }

  bool isSettled(const std::string& name, TimePoint now) const {
    const auto found = targets_.find(name);
    return found == targets_.end() ||
           (found->second.active == 0 && now - found->second.changedAt > settleTime_);
  }
  /** @return since when the target has been settled, which it must be. */
  TimePoint settledSince(const std::string& name) const {
    const auto found = targets_.find(name);
    return found == targets_.end() ? TimePoint{} : found->second.changedAt + settleTime_;
  }

 private:
  struct Disturbance {
    int active = 0;
    TimePoint changedAt{};
  };

  const Duration settleTime_;
  std::map<std::string, Disturbance> targets_;
};

}  // namespace umberhold::soak
