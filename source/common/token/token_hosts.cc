#include "common/token/token_hosts.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr unsigned kTokenShift = 32;

}  // namespace

std::string_view toString(HostChangeKind kind) {
  switch (kind) {
    case HostChangeKind::kAdded:
      return "added";
    case HostChangeKind::kDraining:
      return "draining";
    case HostChangeKind::kActive:
      return "active";
    case HostChangeKind::kLeft:
      return "left";
    case HostChangeKind::kCold:
      return "cold";
    case HostChangeKind::kEnded:
      return "ended";
    case HostChangeKind::kRestarted:
      return "reborn";
  }
  return "unknown";
}

uint32_t flowTokenOf(uint64_t incarnation) {
  const auto token = static_cast<uint32_t>(mixHash(incarnation, 0) >> kTokenShift);
  return token == 0 ? 1 : token;
}

double TokenPool::zoneScore(TimePoint now, std::string_view zone) const {
  const auto found = zones.find(zone);
  return found == zones.end() ? 1.0 : found->second.value(now);
}

std::vector<HostChange> TokenHosts::setPool(TimePoint now, const HostPool& pool, uint64_t version) {
  std::vector<HostChange> changes;
  TokenPool& entry = pools_[pool.name];
  entry.cold = pool.cold;
  entry.version = version;
  entry.appliedAt = now;
  for (const HostSpec& spec : pool.hosts) {
    addOrUpdate(now, pool.name, spec, changes);
  }
  markLeft(now, pool, changes);
  markEnded(changes);
  removeExpired(now);
  indexByPool();
  return changes;
}

std::vector<HostChange> TokenHosts::removePool(TimePoint now, const std::string& name,
                                               uint64_t version) {
  std::vector<HostChange> changes = setPool(now, HostPool{name, {}}, version);
  pools_.erase(name);
  return changes;
}

void TokenHosts::addOrUpdate(TimePoint now, const std::string& pool, const HostSpec& spec,
                             std::vector<HostChange>& changes) {
  const uint32_t token = flowTokenOf(spec.incarnation);
  const auto [place, added] = hosts_.try_emplace(token);
  TokenHost& host = place->second;
  if (!added && host.spec.incarnation != spec.incarnation) {
    return;  // Two incarnations with the same token are indistinguishable; the first one keeps it.
  }
  const HostGeneration generation =
      added ? HostGeneration::kSame : compareGenerations(host.spec, spec);
  if (generation == HostGeneration::kOlder) {
    return;  // The list is older than the known state.
  }
  if (generation == HostGeneration::kNewer) {
    beginGeneration(now, host, spec);
    changes.push_back({HostChangeKind::kRestarted, pool, spec, startTimeOf(spec, clock_)});
  }
  const bool drains = spec.state == HostState::kDraining;
  if (added || !host.listed) {
    changes.push_back({HostChangeKind::kAdded, pool, spec});
  } else if (drains != (host.spec.state == HostState::kDraining)) {
    changes.push_back({drains ? HostChangeKind::kDraining : HostChangeKind::kActive, pool, spec});
  }
  const bool isNewGeneration = added || generation == HostGeneration::kNewer;
  const uint32_t previousCold = isNewGeneration ? 0 : host.spec.coldMilliseconds;
  host.hasNewColdTime = spec.coldMilliseconds != 0 && spec.coldMilliseconds != previousCold;
  host.token = token;
  const uint64_t previousStart = host.spec.startedAtMilliseconds;
  host.spec = spec;
  if (spec.startedAtMilliseconds == 0) {
    host.spec.startedAtMilliseconds = previousStart;
  }
  host.id = hostIdOf(serviceIdOf(pool), spec.name);
  host.pool = pool;
  host.listed = true;
  host.leftAt = now;
  if (added) {
    host.evidenceValidFrom = startTimeOf(spec, clock_);
  }
  if (isNewGeneration) {
    host.firstSeen = now;
  }
}

void TokenHosts::beginGeneration(TimePoint now, TokenHost& host, const HostSpec& spec) const {
  const TimePoint since = std::min(now, startTimeOf(spec, clock_).value_or(now));
  TokenHost restarted;
  restarted.token = host.token;
  restarted.spec = host.spec;
  restarted.id = host.id;
  restarted.pool = host.pool;
  restarted.listed = host.listed;
  restarted.leftAt = host.leftAt;
  // The host may still be queued for reporting its acknowledgement state.
  restarted.isAckStatePending = host.isAckStatePending;
  restarted.evidenceValidFrom = since;
  restarted.estimate.onAnswered();
  restarted.silence.onAnswered(since);
  host = std::move(restarted);
}

void TokenHosts::markLeft(TimePoint now, const HostPool& pool, std::vector<HostChange>& changes) {
  std::unordered_set<uint64_t> listed;
  for (const HostSpec& spec : pool.hosts) {
    listed.insert(spec.incarnation);
  }
  for (TokenHost* host : pools_[pool.name].hosts) {
    if (host->listed && host->pool == pool.name && !listed.contains(host->spec.incarnation)) {
      host->listed = false;
      host->leftAt = now;
      changes.push_back({HostChangeKind::kLeft, pool.name, host->spec});
    }
  }
}

void TokenHosts::markEnded(std::vector<HostChange>& changes) {
  std::unordered_map<Endpoint, const TokenHost*> newest;
  for (const auto& [token, host] : hosts_) {
    if (host.isActive()) {
      const TokenHost*& known = newest[host.spec.endpoint];
      known = known == nullptr || host.firstSeen > known->firstSeen ? &host : known;
    }
  }
  for (auto& [token, host] : hosts_) {
    const auto other = host.listed ? newest.end() : newest.find(host.spec.endpoint);
    const bool ended = other != newest.end() && other->second->firstSeen > host.firstSeen;
    if (ended && !host.ended) {
      HostChange& change = changes.emplace_back();
      change.kind = HostChangeKind::kEnded;
      change.pool = host.pool;
      change.host = host.spec;
      change.successor = other->second->spec.name;
    }
    host.ended = ended;
  }
}

void TokenHosts::removeExpired(TimePoint now) {
  std::erase_if(hosts_, [this, now](const auto& named) {
    return !named.second.listed && now - named.second.leftAt > flowLife_;
  });
}

void TokenHosts::indexByPool() {
  for (auto& [name, pool] : pools_) {
    pool.hosts.clear();
  }
  for (auto& [token, host] : hosts_) {
    const auto pool = pools_.find(host.pool);
    if (pool != pools_.end()) {
      pool->second.hosts.push_back(&host);
    }
  }
  for (auto& [name, pool] : pools_) {
    pool.slots = 0;
    std::unordered_set<std::string_view> zones;
    for (const TokenHost* host : pool.hosts) {
      zones.insert(host->spec.zone);
      pool.slots += host->isActive() ? host->spec.slots : 0;
    }
    pool.zoneCount = static_cast<uint32_t>(zones.size());
  }
}

TokenHost* TokenHosts::find(uint32_t token) {
  const auto place = hosts_.find(token);
  return place == hosts_.end() ? nullptr : &place->second;
}

TokenPool* TokenHosts::findPool(const std::string& name) {
  const auto place = pools_.find(name);
  return place == pools_.end() ? nullptr : &place->second;
}

const TokenPool* TokenHosts::findPool(const std::string& name) const {
  const auto place = pools_.find(name);
  return place == pools_.end() ? nullptr : &place->second;
}

size_t TokenHosts::coldCount(TimePoint now) const {
  return static_cast<size_t>(std::count_if(hosts_.begin(), hosts_.end(), [now](const auto& entry) {
    return entry.second.listed && entry.second.cold.isCold(now);
  }));
}

size_t TokenHosts::listedCount() const {
  return static_cast<size_t>(std::count_if(hosts_.begin(), hosts_.end(),
                                           [](const auto& entry) { return entry.second.listed; }));
}

}  // namespace umberhold
