#include "common/platform/host_presence.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace umberhold {
namespace {

constexpr uint32_t kPercent = 100;
constexpr uint32_t kMinMassRemoval = 2;

/** @return whether both hosts report a start time and the first one's is earlier. */
bool hasEarlierStart(const HostSpec& host, const HostSpec& other) {
  return host.startedAtMilliseconds != 0 &&
         host.startedAtMilliseconds < other.startedAtMilliseconds;
}

/**
 * @return whether the first of two hosts with the same endpoint obtained it later. A host that
 * restarts keeps its registration, so if both hosts report a start time, the start times are
 * compared and not the creation of the registrations.
 */
bool isLater(const HostRegistration& registration, const HostRegistration& other) {
  const uint64_t startTime = registration.host.startedAtMilliseconds;
  const uint64_t otherStartTime = other.host.startedAtMilliseconds;
  if (startTime != 0 && otherStartTime != 0 && startTime != otherStartTime) {
    return startTime > otherStartTime;
  }
  return registration.madeAt > other.madeAt;
}

/** Number of hosts of a pool that are present, and that vanished recently. */
struct PoolCount {
  uint32_t present = 0;
  uint32_t vanished = 0;
};

}  // namespace

std::string_view toString(GraceCause cause) {
  switch (cause) {
    case GraceCause::kOutage:
      return "outage";
    case GraceCause::kOutageOfSource:
      return "outage_of_source";
    case GraceCause::kMassRemoval:
      return "mass_removal";
  }
  return "unknown";
}

HostPresence::HostPresence(HostPresenceOptions options) : options_(options) {}

bool HostPresence::onRegistered(HostRegistration registration) {
  const auto [found, isNew] = entries_.try_emplace(registration.host.name);
  Entry& entry = found->second;
  if (!isNew && registration.version <= entry.registration.version) {
    return false;
  }
  if (hasEarlierStart(registration.host, entry.registration.host)) {
    // A delayed write from before the host's last restart.
    entry.registration.version = registration.version;
    return false;
  }
  if (registration.host.startedAtMilliseconds == 0) {
    registration.host.startedAtMilliseconds = entry.registration.host.startedAtMilliseconds;
  }
  entry.registration = std::move(registration);
  entry.removedAt.reset();
  entry.outage.reset();
  entry.afterOutageOfSource = false;
  entry.inMassRemoval = false;
  return true;
}

bool HostPresence::onRemoved(TimePoint now, const std::string& host, uint64_t version,
                             TimePoint lastPresentAt) {
  const auto found = entries_.find(host);
  if (found == entries_.end() || found->second.removedAt ||
      version < found->second.registration.version) {
    return false;
  }
  Entry& entry = found->second;
  entry.registration.version = version;
  entry.removedAt = now;
  entry.lastPresentAt = lastPresentAt;
  if (inOutage_ || isRecent(now, recoveredAt_)) {
    entry.outage = outage_;
  }
  entry.afterOutageOfSource = isRecent(now, sourceRecoveredAt_);
  return true;
}

void HostPresence::onListed(TimePoint now, uint64_t version, const std::set<std::string>& hosts,
                            TimePoint lastPresentAt) {
  for (auto& [name, entry] : entries_) {
    if (!hosts.contains(name)) {
      onRemoved(now, name, version, lastPresentAt);
    }
  }
}

void HostPresence::onOutage(TimePoint lostAt) {
  if (!inOutage_) {
    beginOutage(lostAt);
  }
  lostAt_ = std::max(lostAt_, lostAt);
  reachableAt_.reset();
}

void HostPresence::beginOutage(TimePoint lostAt) {
  const uint64_t next = outage_ + 1;
  for (auto& [name, entry] : entries_) {
    if (entry.removedAt && vanishedInLastOutage(entry) && lostAt < activeUntil(entry)) {
      // The host had no time to register again before the store was lost once more.
      entry.outage = next;
    }
  }
  outage_ = next;
  inOutage_ = true;
}

void HostPresence::onReachable(TimePoint now) {
  if (inOutage_ && !reachableAt_) {
    reachableAt_ = now;
  }
}

void HostPresence::onRecovered(TimePoint now) {
  if (inOutage_) {
    inOutage_ = false;
    recoveredAt_ = std::exchange(reachableAt_, std::nullopt).value_or(now);
  }
}

std::optional<TimePoint> HostPresence::outageEndedAt(TimePoint now) const {
  if (inOutage_) {
    return std::nullopt;
  }
  const auto latest = std::max(recoveredAt_, sourceRecoveredAt_);
  return isRecent(now, latest) ? latest : std::nullopt;
}

std::vector<HostPool> HostPresence::settle(TimePoint now) {
  settledAt_ = now;
  markSuperseded();
  markMassRemovals(now);
  markKept(now);
  dropExpired(now);
  std::vector<HostPool> changed;
  std::map<std::string, HostPool> pools = makePools(now);
  for (const auto& [name, pool] : pools) {
    const auto before = pools_.find(name);
    if (before == pools_.end() || before->second != pool) {
      changed.push_back(pool);
    }
  }
  // A pool whose last host was dropped stays known, without hosts.
  for (const auto& [name, pool] : pools_) {
    const auto [kept, wasInserted] = pools.try_emplace(name, HostPool{name, {}});
    if (wasInserted && !pool.hosts.empty()) {
      changed.push_back(kept->second);
    }
  }
  pools_ = std::move(pools);
  return changed;
}

std::vector<HostRegistration> HostPresence::registered() const {
  std::vector<HostRegistration> registered;
  for (const auto& [name, entry] : entries_) {
    if (!entry.removedAt) {
      registered.push_back(entry.registration);
    }
  }
  return registered;
}

std::vector<std::string> HostPresence::registeredExcept(const std::set<std::string>& names) const {
  std::vector<std::string> missing;
  for (const auto& [name, entry] : entries_) {
    if (!entry.removedAt && !names.contains(name)) {
      missing.push_back(name);
    }
  }
  return missing;
}

std::optional<TimePoint> HostPresence::nextChange() const {
  std::optional<TimePoint> next;
  const auto consider = [&next, this](TimePoint at) {
    if (at > settledAt_ && (!next || at < *next)) {
      next = at;
    }
  };
  for (const auto& [name, entry] : entries_) {
    if (entry.removedAt) {
      consider(activeUntil(entry));
      consider(expiresAt(entry));
    }
  }
  return next;
}

TimePoint HostPresence::activeUntil(const Entry& entry) const {
  TimePoint until = entry.lastPresentAt;
  if (entry.outage || entry.afterOutageOfSource || entry.inMassRemoval) {
    until += options_.vanishedGrace;
  }
  if (entry.afterOutageOfSource) {
    until = std::max(until, *sourceRecoveredAt_ + options_.outageGrace);
  }
  until = std::min(until, entry.lastPresentAt + options_.absenceLimit);
  if (vanishedInLastOutage(entry)) {
    until = std::max(until, outageGraceEnd());
  }
  return std::max(until, *entry.removedAt);
}

bool HostPresence::receivesNewFlows(const Entry& entry, TimePoint now) const {
  return entry.registration.host.state == HostState::kActive && !entry.isSuperseded &&
         (!entry.removedAt || now < activeUntil(entry));
}

bool HostPresence::endedRecently(const Entry& entry, TimePoint now) const {
  return entry.removedAt && now - *entry.removedAt <= options_.massRemovalWindow;
}

/** Draining hosts are expected to vanish and are not counted. */
void HostPresence::markMassRemovals(TimePoint now) {
  std::map<std::string, PoolCount> counts;
  for (const auto& [name, entry] : entries_) {
    if (entry.registration.host.state == HostState::kActive && !entry.isSuperseded) {
      PoolCount& count = counts[entry.registration.pool];
      count.present += entry.removedAt ? 0 : 1;
      count.vanished += endedRecently(entry, now) ? 1 : 0;
    }
  }
  for (auto& [name, entry] : entries_) {
    const PoolCount& count = counts[entry.registration.pool];
    const bool isMassRemoval =
        count.vanished >= kMinMassRemoval &&
        count.vanished * kPercent > options_.massRemovalPercent * (count.present + count.vanished);
    entry.inMassRemoval = entry.inMassRemoval || (isMassRemoval && endedRecently(entry, now));
  }
}

std::unordered_map<Endpoint, HostPresence::LatestHosts> HostPresence::latestHosts() const {
  const auto latestOf = [](const HostRegistration* known, const HostRegistration& registration) {
    return known == nullptr || isLater(registration, *known) ? &registration : known;
  };
  std::unordered_map<Endpoint, LatestHosts> latest;
  for (const auto& [name, entry] : entries_) {
    if (maySupersede(entry.registration)) {
      LatestHosts& hosts = latest[entry.registration.host.endpoint];
      hosts.any = latestOf(hosts.any, entry.registration);
      hosts.registered =
          entry.removedAt ? hosts.registered : latestOf(hosts.registered, entry.registration);
    }
  }
  return latest;
}

void HostPresence::markSuperseded() {
  newlySuperseded_.clear();
  const auto latest = latestHosts();
  for (auto& [name, entry] : entries_) {
    const Endpoint& endpoint = entry.registration.host.endpoint;
    const auto found = latest.find(endpoint);
    const LatestHosts hosts = found == latest.end() ? LatestHosts{} : found->second;
    // A host that has left says nothing about a host that is still registered.
    const HostRegistration* const successor = entry.removedAt ? hosts.any : hosts.registered;
    const bool isSuperseded = successor != nullptr && isLater(*successor, entry.registration);
    if (isSuperseded && !entry.isSuperseded) {
      newlySuperseded_.push_back({name, successor->host.name, endpoint});
    }
    entry.isSuperseded = isSuperseded;
  }
}

GraceCause HostPresence::graceCauseOf(const Entry& entry) const {
  if (vanishedInLastOutage(entry)) {
    return GraceCause::kOutage;
  }
  return entry.afterOutageOfSource ? GraceCause::kOutageOfSource : GraceCause::kMassRemoval;
}

void HostPresence::markKept(TimePoint now) {
  newlyKept_.clear();
  for (auto& [name, entry] : entries_) {
    if (!entry.removedAt || !receivesNewFlows(entry, now)) {
      continue;
    }
    const TimePoint until = activeUntil(entry);
    if (std::exchange(entry.reportedUntil, until) != until) {
      newlyKept_.push_back({name, graceCauseOf(entry), entry.lastPresentAt, until});
    }
  }
}

void HostPresence::dropExpired(TimePoint now) {
  std::erase_if(entries_, [this, now](const auto& named) {
    return named.second.removedAt && now >= expiresAt(named.second);
  });
}

std::map<std::string, HostPool> HostPresence::makePools(TimePoint now) const {
  std::map<std::string, HostPool> pools;
  for (const auto& [name, entry] : entries_) {
    if (hasEnded(entry, now)) {
      continue;
    }
    HostPool& pool = pools[entry.registration.pool];
    pool.name = entry.registration.pool;
    HostSpec& host = pool.hosts.emplace_back(entry.registration.host);
    if (!receivesNewFlows(entry, now)) {
      host.state = HostState::kDraining;
    }
  }
  return pools;
}

}  // namespace umberhold
