#include "common/placement/host_load_table.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

using Seconds = std::chrono::duration<double>;

/** How long the estimate of other owners' flows is cached. */
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
/** Time constant for averaging the rate of ended flows, in seconds. */
constexpr double kLifeAveraging = 60.0;
constexpr Duration kLifeInterval = std::chrono::seconds(1);
/** Bounds of the mean flow lifetime, in seconds. */
constexpr double kMinLife = 1.0;
constexpr double kMaxLife = 3600.0;
/** Minimum number of flows for estimating growth; below it, random variation dominates. */
constexpr double kMinFlowsForGrowth = 50.0;
constexpr double kMaxGrowth = 2.0;
/** Number of share intervals added to the age of counts; see ShareAging::kMeanLife. */
constexpr double kDamping = 10.0;

double growthOf(double before, double now) {
  if (before < kMinFlowsForGrowth || now < kMinFlowsForGrowth) {
    return 1.0;
  }
  return std::clamp(now / before, 1.0 / kMaxGrowth, kMaxGrowth);
}

uint64_t sumOf(const std::vector<uint32_t>& counts) {
  uint64_t sum = 0;
  for (const uint32_t count : counts) {
    sum += count;
  }
  return sum;
}

}  // namespace

size_t HostLoadTable::findSlot(HostId host) const {
  const auto found = slots_.find(host);
  return found == slots_.end() ? hosts_.size() : found->second;
}

size_t HostLoadTable::slotOf(HostId host) {
  const auto [found, added] = slots_.try_emplace(host, hosts_.size());
  if (added) {
    hosts_.push_back(host);
    resizeShards();
  }
  return found->second;
}

void HostLoadTable::resizeShards() {
  for (auto& [index, shard] : own_) {
    shard.known.resize(hosts_.size());
    shard.inherited.resize(hosts_.size());
    shard.flows.resize(hosts_.size());
  }
  for (auto& [index, shard] : others_) {
    shard.counts.resize(hosts_.size());
  }
  ownFlows_.resize(hosts_.size());
  estimate_.resize(hosts_.size());
  placementLoad_.resize(hosts_.size());
  othersDirty_ = true;
}

void HostLoadTable::setHosts(const std::vector<HostId>& hosts) {
  std::vector<HostId> kept = hosts;
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    const bool configured = std::find(hosts.begin(), hosts.end(), hosts_[slot]) != hosts.end();
    if (!configured && ownFlows_[slot] > 0) {
      kept.push_back(hosts_[slot]);
    }
  }
  std::vector<size_t> oldSlots;
  oldSlots.reserve(kept.size());
  for (const HostId host : kept) {
    oldSlots.push_back(findSlot(host));
  }
  const size_t oldSize = hosts_.size();
  const auto rearrange = [&](std::vector<uint32_t>& counts) {
    std::vector<uint32_t> moved(kept.size());
    for (size_t slot = 0; slot < kept.size(); ++slot) {
      moved[slot] = oldSlots[slot] < oldSize ? counts[oldSlots[slot]] : 0;
    }
    counts = std::move(moved);
  };
  for (auto& [index, shard] : own_) {
    rearrange(shard.known);
    rearrange(shard.inherited);
    rearrange(shard.flows);
  }
  for (auto& [index, shard] : others_) {
    rearrange(shard.counts);
  }
  rearrange(ownFlows_);
  hosts_ = std::move(kept);
  slots_.clear();
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    slots_.emplace(hosts_[slot], slot);
  }
  resizeShards();
}

void HostLoadTable::addOwnShard(uint16_t shard, const std::vector<HostPermits>& inherited) {
  if (own_.contains(shard)) {
    return;
  }
  for (const HostPermits& permits : inherited) {
    slotOf(permits.host);
  }
  OwnShard& added = own_[shard];
  added.known.resize(hosts_.size());
  added.inherited.resize(hosts_.size());
  for (const HostPermits& permits : inherited) {
    added.inherited[findSlot(permits.host)] = permits.flows;
  }
  const auto last = others_.find(shard);
  if (inherited.empty() && last != others_.end()) {
    added.inherited = last->second.counts;
  }
  others_.erase(shard);
  added.flows = added.inherited;
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    ownFlows_[slot] += added.inherited[slot];
  }
  ownTotal_ += sumOf(added.inherited);
  othersDirty_ = true;
}

void HostLoadTable::removeOwnShard(TimePoint now, uint16_t shard) {
  const auto found = own_.find(shard);
  if (found == own_.end()) {
    return;
  }
  OtherShard other;
  other.receivedAt = now;
  other.counts = found->second.flows;
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    ownFlows_[slot] -= other.counts[slot];
  }
  ownTotal_ -= sumOf(other.counts);
  other.ownTotal = static_cast<double>(ownTotal_);
  own_.erase(found);
  others_[shard] = std::move(other);
  othersDirty_ = true;
}

void HostLoadTable::removeInherited(uint16_t shard) {
  const auto found = own_.find(shard);
  if (found == own_.end()) {
    return;
  }
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    ownFlows_[slot] -= found->second.inherited[slot];
    ownTotal_ -= found->second.inherited[slot];
    found->second.flows[slot] = found->second.known[slot];
    found->second.inherited[slot] = 0;
  }
}

void HostLoadTable::flowAdded(uint16_t shard, HostId host, bool adopted) {
  const size_t slot = slotOf(host);
  const auto found = own_.find(shard);
  if (found == own_.end()) {
    return;
  }
  ++found->second.known[slot];
  if (adopted && found->second.inherited[slot] > 0) {
    --found->second.inherited[slot];
    return;
  }
  ++found->second.flows[slot];
  ++ownFlows_[slot];
  ++ownTotal_;
}

void HostLoadTable::flowRemoved(uint16_t shard, HostId host) {
  const size_t slot = findSlot(host);
  const auto found = own_.find(shard);
  if (slot == hosts_.size() || found == own_.end() || found->second.known[slot] == 0) {
    return;
  }
  --found->second.known[slot];
  --found->second.flows[slot];
  --ownFlows_[slot];
  --ownTotal_;
  ++ended_;
}

std::span<const uint32_t> HostLoadTable::shardFlows(uint16_t shard) const {
  const auto found = own_.find(shard);
  return found == own_.end() ? std::span<const uint32_t>{} : found->second.flows;
}

uint32_t HostLoadTable::shardFlows(uint16_t shard, size_t slot) const {
  const std::span<const uint32_t> flows = shardFlows(shard);
  return slot < flows.size() ? flows[slot] : 0;
}

void HostLoadTable::onLoadShare(TimePoint now, const LoadShare& share) {
  const uint16_t shard = share.shard.index;
  if (own_.contains(shard)) {
    return;
  }
  for (const HostLoad& load : share.hosts) {
    slotOf(load.host);
  }
  const auto [found, added] = others_.try_emplace(shard);
  OtherShard& other = found->second;
  if (!added && share.epoch < other.epoch) {
    return;
  }
  other.counts.resize(hosts_.size());
  for (const HostLoad& load : share.hosts) {
    other.counts[findSlot(load.host)] = load.flows;
  }
  if (!added && now > other.receivedAt) {
    other.interval = Seconds(std::max(now - other.receivedAt, shareInterval_)).count();
  }
  other.receivedAt = now;
  other.epoch = share.epoch;
  other.ownTotal = static_cast<double>(ownTotal_);
  othersDirty_ = true;
}

TimePoint HostLoadTable::lastShare(uint16_t shard) const {
  const auto found = others_.find(shard);
  return found == others_.end() ? TimePoint{} : found->second.receivedAt;
}

void HostLoadTable::updateMeanLife(TimePoint now) {
  if (!lifeStarted_) {
    lifeStarted_ = true;
    lifeUpdated_ = now;
    ended_ = 0;
    return;
  }
  if (now - lifeUpdated_ < kLifeInterval) {
    return;
  }
  const double elapsed = Seconds(now - lifeUpdated_).count();
  const double kept = std::exp(-elapsed / kLifeAveraging);
  endedPerSecond_ = endedPerSecond_ * kept + static_cast<double>(ended_) / elapsed * (1.0 - kept);
  ended_ = 0;
  lifeUpdated_ = now;
}

double HostLoadTable::meanLifeSeconds() const {
  const double flows = static_cast<double>(ownTotal_);
  if (endedPerSecond_ <= 0.0 || flows <= 0.0) {
    return kMaxLife;
  }
  return std::clamp(flows / endedPerSecond_, kMinLife, kMaxLife);
}

double HostLoadTable::placementWeight(TimePoint now, const OtherShard& other) const {
  if (aging_ == ShareAging::kIgnoreOthers) {
    return 0.0;
  }
  if (aging_ == ShareAging::kNone) {
    return 1.0;
  }
  const double age = std::max(0.0, Seconds(now - other.receivedAt).count());
  return std::exp(-(age + kDamping * other.interval) / meanLifeSeconds());
}

void HostLoadTable::addOther(TimePoint now, const OtherShard& other) {
  const double growth = growthOf(other.ownTotal, static_cast<double>(ownTotal_));
  const double weight = placementWeight(now, other);
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    const double flows = growth * other.counts[slot];
    othersEstimate_[slot] += flows;
    othersWeighted_[slot] += weight * flows;
  }
}

void HostLoadTable::refreshOthers(TimePoint now) {
  updateMeanLife(now);
  if (!othersDirty_ && now - othersRefreshed_ < kRefreshInterval) {
    return;
  }
  othersEstimate_.assign(hosts_.size(), 0.0);
  othersWeighted_.assign(hosts_.size(), 0.0);
  othersDirty_ = false;
  othersRefreshed_ = now;
  for (const auto& [index, other] : others_) {
    addOther(now, other);
  }
}

std::span<const double> HostLoadTable::estimate(TimePoint now) {
  refreshOthers(now);
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    estimate_[slot] = ownFlows_[slot] + othersEstimate_[slot];
  }
  return estimate_;
}

std::span<const double> HostLoadTable::placementLoad(TimePoint now) {
  refreshOthers(now);
  for (size_t slot = 0; slot < hosts_.size(); ++slot) {
    placementLoad_[slot] = ownFlows_[slot] + othersWeighted_[slot];
  }
  return placementLoad_;
}

}  // namespace umberhold
