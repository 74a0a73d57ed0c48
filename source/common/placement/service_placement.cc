#include "common/placement/service_placement.h"

#include <algorithm>
#include <cmath>

#include "common/placement/service_placement_parts.h"

namespace umberhold {
namespace {

/** Maximum number of hosts in a LoadShare, so that it fits into a datagram. */
constexpr size_t kHostsPerShare = 48;
/** A shard whose counts changed by less than this fraction, with no change of its hosts' health,
 * sends a LoadShare only every kUnchangedIntervals intervals. */
constexpr double kMinRelativeChange = 0.02;
constexpr int kUnchangedIntervals = 6;
constexpr Duration kPermitCheckInterval = std::chrono::milliseconds(100);
/** Maximum number of permit requests of a shard per check. */
constexpr size_t kMaxRequestsPerCheck = 2;

}  // namespace

ServicePlacement::ServicePlacement(TimePoint now, const Service& service,
                                   ServicePlacementOptions options, ExceptionBudget& budget,
                                   uint64_t seed)
    : parts_(std::make_unique<Parts>(service, std::move(options), budget, seed)) {
  parts_->setHosts(now, service);
}

ServicePlacement::~ServicePlacement() = default;

void ServicePlacement::updateService(TimePoint now, const Service& service) {
  const bool resharded = service.shardCount != parts_->service.shardCount;
  if (resharded) {
    parts_->shards.clear();
    parts_->loads = HostLoadTable(parts_->options.aging, parts_->options.loadShareInterval);
  }
  parts_->setHosts(now, service);
}

void ServicePlacement::setWeights(const std::vector<uint8_t>& weights) {
  if (weights.size() == parts_->weights.size()) {
    parts_->weights = weights;
    parts_->dirty = true;
  }
}

std::vector<BaseHost> ServicePlacement::currentBase() const {
  std::vector<BaseHost> base;
  for (size_t index = 0; index < parts_->hosts.size(); ++index) {
    if (parts_->active(index)) {
      base.push_back({parts_->hosts[index], parts_->weights[index]});
    }
  }
  return base;
}

void ServicePlacement::shardOwned(TimePoint now, ShardId shard,
                                  const std::vector<HostPermits>& inherited) {
  const ShardPermits permits(shard, parts_->service.shardCount, inherited);
  const auto [owned, added] =
      parts_->shards.try_emplace(shard.index, OwnedShard{permits, now, 0, false, {}});
  if (added) {
    parts_->loads.addOwnShard(shard.index, inherited);
    parts_->shardsChanged();
  }
}

std::vector<HostPermits> ServicePlacement::handOverPermits(ShardId shard) const {
  const auto owned = parts_->shards.find(shard.index);
  if (owned == parts_->shards.end()) {
    return {};
  }
  return owned->second.permits.handOver(parts_->hostUses(shard.index));
}

void ServicePlacement::shardReleased(TimePoint now, ShardId shard) {
  parts_->loads.removeOwnShard(now, shard.index);
  parts_->shards.erase(shard.index);
  parts_->shardsChanged();
}

void ServicePlacement::markFlowsComplete(ShardId shard) {
  parts_->loads.removeInherited(shard.index);
}

void ServicePlacement::flowAdded(ShardId shard, HostId host, FlowOrigin origin) {
  parts_->loads.flowAdded(shard.index, host, origin == FlowOrigin::kAdopted);
  const auto owned = parts_->shards.find(shard.index);
  if (owned != parts_->shards.end()) {
    ++owned->second.changes;
  }
}

void ServicePlacement::flowRemoved(ShardId shard, HostId host) {
  parts_->loads.flowRemoved(shard.index, host);
  const auto owned = parts_->shards.find(shard.index);
  if (owned != parts_->shards.end()) {
    ++owned->second.changes;
  }
}

PlacementChoice ServicePlacement::choose(TimePoint now, ShardId shard, FlowHash flow,
                                         const BaseTable& base, PlacementMode mode) {
  Parts& parts = *parts_;
  parts.prepareConditions(now, shard.index);
  if (mode == PlacementMode::kBaseOnly) {
    return parts.chooseBaseHost(flow, base);
  }
  const bool exceptionAvailable = parts.budget.available(now);
  const double bound =
      exceptionAvailable ? loadBound(parts.options.bound, parts.budget.fill(now)) : 0.0;
  const PlacementCandidates candidates{parts.ranking, parts.conditions};
  const auto choice = chooseUnderBound(flow, base, candidates, bound, parts.options.bound.overflow);
  if (!choice.has_value()) {
    return NoAdmissibleHost{parts.anyEligible()};
  }
  if (choice->isException) {
    parts.budget.spend(now);
  }
  return ChosenHost{parts.hosts[choice->index], choice->isException};
}

bool ServicePlacement::isAdmissible(TimePoint now, ShardId shard, HostId host) const {
  const auto found = parts_->indices.find(host);
  if (found == parts_->indices.end()) {
    return false;
  }
  parts_->prepareConditions(now, shard.index);
  return parts_->conditions[found->second].admissible;
}

bool ServicePlacement::mayKeepFlows(HostId host, UnixSeconds unixNow) const {
  const auto found = parts_->indices.find(host);
  if (found == parts_->indices.end()) {
    return false;
  }
  const HostSpec& spec = parts_->service.hosts[found->second];
  const bool ended = spec.state == HostState::kDraining && spec.drainDeadline != 0 &&
                     spec.drainDeadline <= unixNow;
  return !ended;
}

bool ServicePlacement::loadShareDue(TimePoint now, ShardId shard) const {
  const auto owned = parts_->shards.find(shard.index);
  if (owned == parts_->shards.end() || parts_->service.shardCount < 2) {
    return false;
  }
  const Duration sinceLastShare = now - owned->second.lastShare;
  if (owned->second.healthChanged) {
    return sinceLastShare >= parts_->options.healthShareInterval;
  }
  if (sinceLastShare < parts_->options.loadShareInterval) {
    return false;
  }
  uint64_t flows = 0;
  for (const HostUse& use : parts_->hostUses(shard.index)) {
    flows += use.flows;
  }
  const double minChanges = std::max(1.0, kMinRelativeChange * static_cast<double>(flows));
  const bool changed = static_cast<double>(owned->second.changes) >= minChanges;
  return changed || sinceLastShare >= kUnchangedIntervals * parts_->options.loadShareInterval;
}

std::vector<LoadShare> ServicePlacement::makeLoadShare(TimePoint now, ShardId shard,
                                                       uint32_t epoch) {
  const auto owned = parts_->shards.find(shard.index);
  if (owned == parts_->shards.end()) {
    return {};
  }
  owned->second.lastShare = now;
  owned->second.changes = 0;
  owned->second.healthChanged = false;
  std::vector<LoadShare> shares;
  for (const HostId host : parts_->hosts) {
    if (shares.empty() || shares.back().hosts.size() == kHostsPerShare) {
      shares.push_back({shard, epoch, {}});
    }
    shares.back().hosts.push_back(parts_->shareOf(now, shard.index, host));
  }
  return shares;
}

void ServicePlacement::onLoadShare(TimePoint now, const LoadShare& share) {
  if (share.shard.service != parts_->id || parts_->shards.contains(share.shard.index)) {
    return;
  }
  parts_->loads.onLoadShare(now, share);
  const std::span<const double> flows = parts_->loads.estimate(now);
  for (const HostLoad& load : share.hosts) {
    std::optional<LoadReport> report;
    if (load.reportedLoad != kNotReported) {
      report = LoadReport{load.reportedLoad, now, flows[parts_->loads.findSlot(load.host)]};
    }
    parts_->health.onRemoteResult(now, share.shard.index, load.host, load.healthy, report);
  }
  parts_->dirty = true;
}

std::vector<ServicePlacement::OutgoingPermitRequest> ServicePlacement::duePermitRequests(
    TimePoint now) {
  std::vector<OutgoingPermitRequest> outgoing;
  if (parts_->options.connectionLimit != ConnectionLimitMode::kLentPermits) {
    return outgoing;
  }
  if (now - parts_->permitsChecked < kPermitCheckInterval) {
    return outgoing;
  }
  parts_->permitsChecked = now;
  const std::span<const double> all = parts_->loads.estimate(now);
  for (auto& [index, owned] : parts_->shards) {
    std::vector<HostUse> uses = parts_->hostUses(index);
    for (HostUse& use : uses) {
      use.allFlows = all[parts_->loads.findSlot(use.host)];
    }
    const size_t maxRequests = parts_->permitBudget.available(now) ? kMaxRequestsPerCheck : 0;
    for (const PermitRequest& request : owned.permits.dueRequests(now, uses, maxRequests)) {
      parts_->permitBudget.spend(now);
      outgoing.push_back({ShardId{parts_->id, request.lender}, request});
    }
  }
  return outgoing;
}

std::optional<PermitGrant> ServicePlacement::onPermitRequest(TimePoint now,
                                                             const PermitRequest& request) {
  const auto owned = parts_->shards.find(request.lender);
  const auto host = parts_->indices.find(request.host);
  if (request.shard.service != parts_->id || owned == parts_->shards.end() ||
      host == parts_->indices.end()) {
    return std::nullopt;
  }
  const size_t slot = parts_->loads.findSlot(request.host);
  const HostUse use{request.host, parts_->service.hosts[host->second].connectionLimit,
                    parts_->loads.shardFlows(request.lender, slot),
                    parts_->loads.estimate(now)[slot]};
  parts_->dirty = true;
  return owned->second.permits.onRequest(request, use);
}

void ServicePlacement::onPermitGrant(TimePoint now, const PermitGrant& grant) {
  const auto owned = parts_->shards.find(grant.to.index);
  if (grant.to.service == parts_->id && owned != parts_->shards.end()) {
    owned->second.permits.onGrant(now, grant);
    parts_->dirty = true;
  }
}

std::vector<DueProbe> ServicePlacement::dueProbes(TimePoint now) {
  std::vector<DueProbe> probes;
  for (const HostId host : parts_->health.dueProbes(now)) {
    probes.push_back({host, parts_->service.hosts[parts_->indices.at(host)].probe});
  }
  return probes;
}

void ServicePlacement::onProbe(TimePoint now, const ProbeResult& result) {
  std::optional<LoadReport> report;
  const size_t slot = parts_->loads.findSlot(result.host);
  if (result.hasLoad && slot < parts_->loads.size()) {
    report = LoadReport{result.loadPercent, now, parts_->loads.estimate(now)[slot]};
  }
  const bool before = parts_->health.isHealthy(now, result.host);
  parts_->health.onProbe(now, result.host, result.healthy, report);
  if (parts_->health.isHealthy(now, result.host) != before) {
    parts_->markHealthChanged(result.host);
  }
  parts_->dirty = true;
}

std::vector<HostView> ServicePlacement::hostViews(TimePoint now) const {
  const std::vector<double> loads = parts_->blendedLoads(now);
  const std::span<const double> flows = parts_->loads.estimate(now);
  std::vector<HostView> views;
  for (size_t index = 0; index < parts_->hosts.size(); ++index) {
    const HostSpec& spec = parts_->service.hosts[index];
    HostView view;
    view.name = spec.name;
    view.zone = spec.zone;
    view.weight = spec.weight;
    view.load = loads[index];
    view.flows = static_cast<uint32_t>(std::lround(flows[index]));
    view.connectionLimit = spec.connectionLimit;
    view.healthy = parts_->health.isHealthy(now, parts_->hosts[index]);
    view.draining = spec.state == HostState::kDraining;
    view.ageSeconds = parts_->health.ageSeconds(now, parts_->hosts[index]);
    view.sameZone = spec.zone == parts_->options.zoneName;
    views.push_back(std::move(view));
  }
  return views;
}

ServiceView ServicePlacement::serviceView(TimePoint now) const {
  ServiceView service;
  service.name = parts_->service.name;
  double load = 0.0;
  for (const HostView& host : hostViews(now)) {
    ++service.hosts;
    service.flows += host.flows;
    if (host.healthy && !host.draining) {
      ++service.healthyHosts;
      service.capacity += host.connectionLimit;
      load += host.load;
    }
  }
  service.load = service.healthyHosts == 0 ? 0.0 : load / service.healthyHosts;
  return service;
}

}  // namespace umberhold
