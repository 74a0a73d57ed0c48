#include "common/placement/service_placement_parts.h"

#include <algorithm>
#include <cmath>

#include "common/placement/blended_load.h"

namespace umberhold {
namespace {

constexpr uint8_t kFullWeight = 255;
/** How long the hosts' states are cached. */
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
constexpr uint32_t kMaxReportedLoad = 254;

}  // namespace

void ServicePlacement::Parts::setHosts(TimePoint now, const Service& configured) {
  std::unordered_map<HostId, uint8_t> oldWeights;
  for (size_t index = 0; index < hosts.size(); ++index) {
    oldWeights.emplace(hosts[index], weights[index]);
  }
  service = configured;
  hosts.clear();
  weights.clear();
  indices.clear();
  std::vector<ProbedHost> probed;
  for (const HostSpec& spec : service.hosts) {
    const HostId host = hostIdOf(id, spec.name);
    const auto old = oldWeights.find(host);
    indices.emplace(host, hosts.size());
    hosts.push_back(host);
    weights.push_back(old == oldWeights.end() ? kFullWeight : old->second);
    probed.push_back({host, spec.probe.port != 0, spec.state == HostState::kActive});
  }
  loads.setHosts(hosts);
  health.setHosts(now, probed, service.shardCount);
  shardsChanged();
}

void ServicePlacement::Parts::shardsChanged() {
  std::vector<uint16_t> owned;
  for (const auto& [index, shard] : shards) {
    owned.push_back(index);
  }
  health.setOwnedShards(owned);
  dirty = true;
}

void ServicePlacement::Parts::markHealthChanged(HostId host) {
  const auto index = indices.find(host);
  if (index == indices.end()) {
    return;
  }
  const auto owned = shards.find(static_cast<uint16_t>(index->second % service.shardCount));
  if (owned != shards.end()) {
    owned->second.healthChanged = true;
  }
}

void ServicePlacement::Parts::refresh(TimePoint now) {
  if (!dirty && now - refreshed < kRefreshInterval) {
    return;
  }
  dirty = false;
  refreshed = now;
  ranking.resize(hosts.size());
  eligible.resize(hosts.size());
  conditions.resize(hosts.size());
  for (size_t index = 0; index < hosts.size(); ++index) {
    const double ramped = weights[index] * health.rampFactor(now, hosts[index]);
    const double minWeight = weights[index] == 0 ? 0.0 : 1.0;
    ranking[index] = {hosts[index], static_cast<uint8_t>(std::max(minWeight, std::floor(ramped)))};
    eligible[index] = active(index) && weights[index] > 0 && health.mayTakeFlows(now, hosts[index]);
  }
  for (auto& [number, owned] : shards) {
    owned.allowed.resize(hosts.size());
    for (size_t index = 0; index < hosts.size(); ++index) {
      owned.allowed[index] = allowedFlows(number, owned, index);
    }
  }
}

int64_t ServicePlacement::Parts::allowedFlows(uint16_t shard, const OwnedShard& owned,
                                              size_t index) const {
  const uint32_t limit = service.hosts[index].connectionLimit;
  switch (options.connectionLimit) {
    case ConnectionLimitMode::kUncoordinated:
      return limit;
    case ConnectionLimitMode::kStaticShares:
      return initialPermits(limit, shard, service.shardCount);
    case ConnectionLimitMode::kLentPermits:
      break;
  }
  return owned.permits.permits(hosts[index], limit);
}

void ServicePlacement::Parts::prepareConditions(TimePoint now, uint16_t shard) {
  refresh(now);
  const auto owned = shards.find(shard);
  const std::span<const uint32_t> own = loads.shardFlows(shard);
  const bool estimated = options.connectionLimit == ConnectionLimitMode::kUncoordinated;
  const std::span<const double> all = estimated ? loads.estimate(now) : std::span<const double>{};
  const std::span<const double> flows = loads.placementLoad(now);
  for (size_t index = 0; index < hosts.size(); ++index) {
    // A host's slot is its index.
    const double used = estimated ? all[index] : static_cast<double>(own.empty() ? 0 : own[index]);
    const bool belowLimit =
        owned != shards.end() && used + 1.0 <= static_cast<double>(owned->second.allowed[index]);
    conditions[index] = {eligible[index] && belowLimit, flows[index]};
  }
}

bool ServicePlacement::Parts::anyEligible() const {
  return std::find(eligible.begin(), eligible.end(), true) != eligible.end();
}

PlacementChoice ServicePlacement::Parts::chooseBaseHost(FlowHash flow,
                                                        const BaseTable& base) const {
  const auto host = base.defaultHost(flow);
  const auto found = host.has_value() ? indices.find(*host) : indices.end();
  if (found == indices.end()) {
    return NoAdmissibleHost{false};
  }
  if (!conditions[found->second].admissible) {
    return NoAdmissibleHost{eligible[found->second]};
  }
  return ChosenHost{*host, false};
}

std::vector<HostUse> ServicePlacement::Parts::hostUses(uint16_t shard) const {
  std::vector<HostUse> uses;
  for (size_t index = 0; index < hosts.size(); ++index) {
    const size_t slot = loads.findSlot(hosts[index]);
    uses.push_back(
        {hosts[index], service.hosts[index].connectionLimit, loads.shardFlows(shard, slot), 0.0});
  }
  return uses;
}

HostLoad ServicePlacement::Parts::shareOf(TimePoint now, uint16_t shard, HostId host) const {
  HostLoad load;
  load.host = host;
  load.flows = loads.shardFlows(shard, loads.findSlot(host));
  load.reportedLoad = kNotReported;
  const size_t index = indices.at(host);
  if (index % service.shardCount == shard && health.probedHere(host)) {
    load.healthy = health.isHealthy(now, host);
    const auto report = health.report(host);
    if (report.has_value() && now - report->at <= options.loadShareInterval) {
      load.reportedLoad = static_cast<uint8_t>(std::min(report->loadPercent, kMaxReportedLoad));
    }
  }
  return load;
}

std::vector<double> ServicePlacement::Parts::blendedLoads(TimePoint now) {
  const std::span<const double> flows = loads.estimate(now);
  std::vector<LoadInput> inputs;
  for (size_t index = 0; index < hosts.size(); ++index) {
    inputs.push_back(
        {health.report(hosts[index]), flows[index], service.hosts[index].connectionLimit});
  }
  return blendLoads(now, inputs);
}

}  // namespace umberhold
