#include "common/health/host_health.h"

#include <algorithm>

#include "common/base/jitter.h"

namespace umberhold {
namespace {

using Seconds = std::chrono::duration<double>;

/** Age in seconds reported for a host that was present at start-up. */
constexpr double kWarmAge = 1e9;
/** Minimum fraction of its weight that a cold host receives. */
constexpr double kMinRampFactor = 0.1;

}  // namespace

void HostHealth::setHosts(TimePoint now, const std::vector<ProbedHost>& hosts,
                          uint16_t shardCount) {
  updatePanicTime(now);
  std::unordered_map<HostId, State> states;
  order_.clear();
  for (const ProbedHost& host : hosts) {
    const auto known = states_.find(host.host);
    State state;
    if (known != states_.end()) {
      state = known->second;
    } else if (!first_) {
      state.warmingSince = now;
    }
    if (known == states_.end()) {
      const double spread = Seconds(options_.interval).count() * random_.unit();
      state.nextProbe = now + std::chrono::duration_cast<Duration>(Seconds(spread));
    }
    state.index = order_.size();
    state.probed = host.probed;
    state.active = host.active;
    state.healthy = state.healthy || !host.probed;
    states.emplace(host.host, state);
    order_.push_back(host.host);
  }
  states_ = std::move(states);
  shardCount_ = std::max<uint16_t>(1, shardCount);
  ownedShards_.resize(shardCount_);
  first_ = false;
}

void HostHealth::setOwnedShards(const std::vector<uint16_t>& shards) {
  ownedShards_.assign(shardCount_, false);
  for (const uint16_t shard : shards) {
    if (shard < shardCount_) {
      ownedShards_[shard] = true;
    }
  }
}

bool HostHealth::ownsIndex(size_t index) const {
  return ownedShards_[index % shardCount_];
}

std::vector<HostId> HostHealth::dueProbes(TimePoint now) {
  const double maxTokens = std::max(1.0, options_.probesPerSecond);
  const double elapsed = std::max(0.0, Seconds(now - tokensAt_).count());
  probeTokens_ = std::min(maxTokens, probeTokens_ + elapsed * options_.probesPerSecond);
  tokensAt_ = now;
  std::vector<HostId> due;
  for (const HostId host : order_) {
    const State& state = states_.at(host);
    if (state.probed && ownsIndex(state.index) && state.nextProbe <= now) {
      due.push_back(host);
    }
  }
  std::sort(due.begin(), due.end(), [this](HostId left, HostId right) {
    return states_.at(left).nextProbe < states_.at(right).nextProbe;
  });
  due.resize(std::min(due.size(), static_cast<size_t>(probeTokens_)));
  probeTokens_ -= static_cast<double>(due.size());
  for (const HostId host : due) {
    State& state = states_.at(host);
    const bool settled = state.healthy && state.misses == 0;
    state.nextProbe = now + jittered(settled ? options_.interval : options_.intervalAfterMiss,
                                     options_.jitter, random_);
  }
  return due;
}

void HostHealth::becomeHealthy(TimePoint now, State& state) {
  state.healthy = true;
  if (!isPanicking(now)) {
    state.warmingSince = now;
  }
}

void HostHealth::onProbe(TimePoint now, HostId host, bool healthy,
                         std::optional<LoadReport> report) {
  const auto found = states_.find(host);
  if (found == states_.end()) {
    return;
  }
  updatePanicTime(now);
  State& state = found->second;
  state.remoteAt.reset();
  state.misses = healthy ? 0 : state.misses + 1;
  state.answers = healthy ? state.answers + 1 : 0;
  if (report.has_value()) {
    state.report = report;
  }
  if (!healthy && state.misses >= options_.missesToUnhealthy) {
    state.healthy = false;
  }
  if (healthy && !state.healthy && state.answers >= options_.answersToHealthy) {
    becomeHealthy(now, state);
  }
  if (!healthy) {
    state.nextProbe = std::min(
        state.nextProbe, now + jittered(options_.intervalAfterMiss, options_.jitter, random_));
  }
}

void HostHealth::onRemoteResult(TimePoint now, uint16_t fromShard, HostId host, bool healthy,
                                std::optional<LoadReport> report) {
  const auto found = states_.find(host);
  if (found == states_.end() || found->second.index % shardCount_ != fromShard ||
      ownsIndex(found->second.index) || !found->second.probed) {
    return;
  }
  updatePanicTime(now);
  State& state = found->second;
  if (report.has_value()) {
    state.report = report;
  }
  if (healthy && !state.healthy) {
    becomeHealthy(now, state);
  }
  state.healthy = healthy;
  state.misses = 0;
  state.answers = 0;
  state.remoteAt = now;
}

bool HostHealth::isConsideredHealthy(TimePoint now, const State& state) const {
  if (state.healthy) {
    return true;
  }
  return state.remoteAt.has_value() && now - *state.remoteAt > options_.remoteResultLifetime;
}

bool HostHealth::isHealthy(TimePoint now, HostId host) const {
  const auto found = states_.find(host);
  return found != states_.end() && isConsideredHealthy(now, found->second);
}

bool HostHealth::isMajorityUnhealthy(TimePoint now) const {
  size_t active = 0;
  size_t unhealthy = 0;
  for (const auto& [host, state] : states_) {
    if (state.active) {
      ++active;
      unhealthy += isConsideredHealthy(now, state) ? 0 : 1;
    }
  }
  return 2 * unhealthy > active;
}

void HostHealth::updatePanicTime(TimePoint now) {
  if (isMajorityUnhealthy(now)) {
    lastPanic_ = now;
  }
}

bool HostHealth::isPanicking(TimePoint now) const {
  const bool held = lastPanic_ && now - *lastPanic_ < options_.panicHold;
  return held || isMajorityUnhealthy(now);
}

bool HostHealth::mayTakeFlows(TimePoint now, HostId host) const {
  return isHealthy(now, host) || (states_.contains(host) && isPanicking(now));
}

bool HostHealth::probedHere(HostId host) const {
  const auto found = states_.find(host);
  return found != states_.end() && found->second.probed && ownsIndex(found->second.index);
}

std::optional<LoadReport> HostHealth::report(HostId host) const {
  const auto found = states_.find(host);
  return found == states_.end() ? std::nullopt : found->second.report;
}

double HostHealth::ageSeconds(TimePoint now, HostId host) const {
  const auto found = states_.find(host);
  if (found == states_.end()) {
    return 0.0;
  }
  const State& state = found->second;
  return state.warmingSince.has_value() ? Seconds(now - *state.warmingSince).count() : kWarmAge;
}

double HostHealth::rampFactor(TimePoint now, HostId host) const {
  const double ramp = Seconds(options_.coldRamp).count();
  return std::clamp(ageSeconds(now, host) / ramp, kMinRampFactor, 1.0);
}

}  // namespace umberhold
