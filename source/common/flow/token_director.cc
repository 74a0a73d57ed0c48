#include "common/flow/token_director.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr unsigned kAddressShift = 24;
constexpr unsigned kPortShift = 8;
constexpr unsigned kTokenShift = 32;
/** Callers repeat an opening packet within this time. */
constexpr Duration kRepeatWindow = std::chrono::seconds(2);
/**
 * A host that vanishes without having drained may only have lost its entry for a moment; for so
 * long it still takes flows where no other host can.
 */
constexpr Duration kVanishedGrace = std::chrono::milliseconds(1500);
/** Below this part of an equal share of the hosts, a zone sends some of its flows elsewhere. */
constexpr double kFewHosts = 0.9;
/** A flow is refused no sooner than at this copy of a packet; see HostEstimate::isDeadSince. */
constexpr uint32_t kCopiesOfSilentHost = 3;
/** Ranks of later tiers lie beyond every load. */
constexpr double kTier = 1e9;

uint64_t listenKey(uint32_t address, uint16_t port, TransportProtocol protocol) {
  return (uint64_t{address} << kAddressShift) | (uint64_t{port} << kPortShift) |
         static_cast<uint64_t>(protocol);
}

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
  }
  return "unknown";
}

uint32_t flowTokenOf(uint64_t incarnation) {
  const auto token = static_cast<uint32_t>(mixHash(incarnation, 0) >> kTokenShift);
  return token == 0 ? 1 : token;
}

TokenDirector::TokenDirector(TokenOptions options, RandomSource& random)
    : options_(std::move(options)), random_(random) {}

void TokenDirector::setService(const Service& service) {
  removeService(service.name);
  const ServiceId id = serviceIdOf(service.name);
  ServiceEntry& entry = services_[id];
  entry.name = service.name;
  entry.listen = listenKey(service.address, service.port, service.protocol);
  entry.repeatable = service.repeatable;
  for (const HostGroup& group : service.groups) {
    // Nodes start at different places, so that few flows over many nodes are split well too.
    entry.groups.push_back({group, random_.unit()});
  }
  listeners_[entry.listen] = id;
}

void TokenDirector::removeService(const std::string& name) {
  const auto place = services_.find(serviceIdOf(name));
  if (place == services_.end()) {
    return;
  }
  const auto listener = listeners_.find(place->second.listen);
  if (listener != listeners_.end() && listener->second == place->first) {
    listeners_.erase(listener);
  }
  services_.erase(place);
}

std::vector<HostChange> TokenDirector::setPool(TimePoint now, const HostPool& pool,
                                               uint64_t version) {
  std::vector<HostChange> changes;
  const Tokens before = std::exchange(pools_[pool.name], Pool{{}, version, now}).hosts;
  for (const HostSpec& spec : pool.hosts) {
    admit(now, pool.name, spec, changes);
  }
  const Tokens& listed = pools_[pool.name].hosts;
  for (const uint32_t token : before) {
    const auto host = hosts_.find(token);
    const bool stays = std::find(listed.begin(), listed.end(), token) != listed.end();
    if (host != hosts_.end() && !stays) {
      host->second.listed = false;
      host->second.leftAt = now;
      changes.push_back({HostChangeKind::kLeft, pool.name, host->second.spec});
    }
  }
  settleEnded();
  forgetOld(now);
  return changes;
}

std::vector<HostChange> TokenDirector::removePool(TimePoint now, const std::string& name,
                                                  uint64_t version) {
  std::vector<HostChange> changes = setPool(now, HostPool{name, {}}, version);
  pools_.erase(name);
  return changes;
}

void TokenDirector::admit(TimePoint now, const std::string& pool, const HostSpec& spec,
                          std::vector<HostChange>& changes) {
  const uint32_t token = flowTokenOf(spec.incarnation);
  const auto [place, added] = hosts_.try_emplace(token);
  Host& host = place->second;
  if (!added && host.spec.incarnation != spec.incarnation) {
    return;  // Two incarnations with one token can't be told apart: the first one keeps it.
  }
  const bool drains = spec.state == HostState::kDraining;
  if (added || !host.listed) {
    changes.push_back({HostChangeKind::kAdded, pool, spec});
  } else if (drains != (host.spec.state == HostState::kDraining)) {
    changes.push_back({drains ? HostChangeKind::kDraining : HostChangeKind::kActive, pool, spec});
  }
  host.spec = spec;
  host.id = hostIdOf(serviceIdOf(pool), spec.name);
  host.pool = pool;
  host.listed = true;
  host.leftAt = now;
  pools_[pool].hosts.push_back(token);
  if (added) {
    host.firstSeen = now;
  }
}

bool TokenDirector::isActive(const Host& host) {
  return host.listed && host.spec.state == HostState::kActive;
}

void TokenDirector::settleEnded() {
  std::unordered_map<Endpoint, TimePoint> newest;
  for (const auto& [token, host] : hosts_) {
    if (isActive(host)) {
      TimePoint& seen = newest[host.spec.endpoint];
      seen = std::max(seen, host.firstSeen);
    }
  }
  for (auto& [token, host] : hosts_) {
    const auto other = isActive(host) ? newest.end() : newest.find(host.spec.endpoint);
    host.ended = other != newest.end() && other->second > host.firstSeen;
  }
}

void TokenDirector::forgetOld(TimePoint now) {
  for (auto place = hosts_.begin(); place != hosts_.end();) {
    const Host& host = place->second;
    const bool old = !host.listed && now - host.leftAt > options_.flowLife;
    place = old ? hosts_.erase(place) : std::next(place);
  }
}

FlowDecision TokenDirector::decide(TimePoint now, const FlowPacket& packet,
                                   std::string_view /*bytes*/) {
  return packet.phase == PacketPhase::kOpening ? open(now, packet) : follow(now, packet);
}

FlowDecision TokenDirector::open(TimePoint now, const FlowPacket& packet) {
  const auto service = services_.find(packet.service);
  if (service == services_.end()) {
    return DropPacket{DropReason::kUnknownService};
  }
  const uint32_t avoided = noteRepeat(now, packet);
  Host* host = place(now, service->second, avoided);
  if (host == nullptr) {
    return awaitsPool(service->second) ? FlowDecision(DropPacket{DropReason::kNoHost})
                                       : FlowDecision(RefuseFlow{});
  }
  const uint32_t token = flowTokenOf(host->spec.incarnation);
  host->estimate.onOpening(now);
  openingOf(packet.hash) = {packet.hash, token, now};
  ForwardToHost decision = forward(*host, token);
  decision.placement = &evidence_;
  return decision;
}

FlowDecision TokenDirector::follow(TimePoint now, const FlowPacket& packet) {
  const auto place = hosts_.find(packet.token);
  if (place == hosts_.end()) {
    // Another host would take the packet for one of a flow that it doesn't hold.
    return DropPacket{DropReason::kHostGone};
  }
  Host& host = place->second;
  if (host.ended) {
    return packet.phase == PacketPhase::kReset
               ? FlowDecision(DropPacket{DropReason::kHostGone})
               : FlowDecision(RefuseFlow{RefusalReason::kHostEnded});
  }
  Opening& opening = openingOf(packet.hash);
  if (opening.flow == packet.hash && opening.token == packet.token) {
    host.estimate.onAnswered(now);
    opening = {};
  }
  if (noteProgress(now, packet, host)) {
    return RefuseFlow{RefusalReason::kHostSilent};
  }
  host.estimate.onPacket(now);
  return forward(host, packet.token);
}

bool TokenDirector::noteProgress(TimePoint now, const FlowPacket& packet, Host& host) {
  const PacketProgress progress = progress_.note(now, packet);
  if (progress.answered) {
    host.estimate.onAnswered(now);
  }
  if (progress.copies < 2) {
    return false;
  }
  host.estimate.onUnanswered(now);
  const auto service = services_.find(packet.service);
  return progress.copies >= kCopiesOfSilentHost && host.estimate.isDeadSince(progress.firstAt) &&
         service != services_.end() && service->second.repeatable;
}

uint32_t TokenDirector::noteRepeat(TimePoint now, const FlowPacket& packet) {
  const Opening& earlier = openingOf(packet.hash);
  if (earlier.flow != packet.hash || earlier.token == 0 || now - earlier.at > kRepeatWindow) {
    return 0;
  }
  const auto host = hosts_.find(earlier.token);
  if (host != hosts_.end()) {
    host->second.estimate.onUnanswered(now);
  }
  return earlier.token;
}

TokenDirector::Host* TokenDirector::place(TimePoint now, ServiceEntry& service, uint32_t avoided) {
  uint64_t shares = 0;
  for (const Group& group : service.groups) {
    shares += group.group.share;
  }
  if (shares == 0) {
    return nullptr;
  }
  std::vector<Group*> order;
  for (Group& group : service.groups) {
    if (group.group.share > 0) {
      group.owed += static_cast<double>(group.group.share) / static_cast<double>(shares);
      order.push_back(&group);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Group* left, const Group* right) { return left->owed > right->owed; });
  for (Group* group : order) {
    if (Host* host = placeInPool(now, group->group.pool, avoided)) {
      group->owed -= 1.0;
      noteEvidence(now, service, *host, avoided);
      return host;
    }
  }
  return nullptr;
}

TokenDirector::Host* TokenDirector::placeInPool(TimePoint now, const std::string& pool,
                                                uint32_t avoided) {
  Host* best = nullptr;
  double bestRank = 0.0;
  uint64_t equals = 0;
  evidence_.candidates = 0;
  evidence_.leavesZone = random_.unit() > ownZonePart(now, pool);
  for (auto& [token, host] : hosts_) {
    const auto suits = host.pool == pool ? suitability(now, host, avoided) : std::nullopt;
    if (!suits) {
      continue;
    }
    ++evidence_.candidates;
    const double rank = suits->rank(evidence_.leavesZone);
    if (best != nullptr && rank > bestRank) {
      continue;
    }
    equals = best != nullptr && rank == bestRank ? equals + 1 : 1;
    if (equals == 1 || random_.below(equals) == 0) {
      best = &host;
      bestRank = rank;
    }
  }
  return best;
}

void TokenDirector::noteEvidence(TimePoint now, const ServiceEntry& service, const Host& host,
                                 uint32_t avoided) {
  const auto avoidedHost = hosts_.find(avoided);
  const Pool& pool = pools_[host.pool];
  evidence_.service = service.name;
  evidence_.ownZone = host.spec.zone == options_.zone;
  evidence_.silent = host.estimate.isSilent(now);
  evidence_.vanished = !host.listed;
  evidence_.avoidedHost = {};
  if (avoidedHost != hosts_.end()) {
    evidence_.avoidedHost = avoidedHost->second.spec.name;
  }
  evidence_.load = host.estimate.load(now);
  evidence_.weight = host.spec.weight;
  evidence_.poolVersion = pool.version;
  evidence_.poolAppliedAt = pool.appliedAt;
}

double TokenDirector::ownZonePart(TimePoint now, const std::string& pool) const {
  std::unordered_map<std::string, double> weights;
  double total = 0.0;
  for (const auto& [token, host] : hosts_) {
    if (host.pool == pool && suitability(now, host, 0)) {
      weights[host.spec.zone] += host.spec.weight;
      total += host.spec.weight;
    }
  }
  const auto own = weights.find(options_.zone);
  if (own == weights.end()) {
    return 1.0;  // There is nothing to leave.
  }
  const double part = own->second * static_cast<double>(weights.size()) / total;
  return part < kFewHosts ? part : 1.0;
}

std::optional<TokenDirector::Suitability> TokenDirector::suitability(TimePoint now,
                                                                     const Host& host,
                                                                     uint32_t avoided) const {
  const bool vanished = !host.listed;
  if (host.ended || host.spec.state == HostState::kDraining || host.spec.weight == 0 ||
      (vanished && now - host.leftAt > kVanishedGrace)) {
    return std::nullopt;
  }
  Suitability suits;
  suits.otherZone = host.spec.zone != options_.zone;
  suits.silent = host.estimate.isSilent(now);
  suits.avoided = flowTokenOf(host.spec.incarnation) == avoided;
  suits.vanished = vanished;
  suits.load = (host.estimate.load(now) + 1.0) / host.spec.weight;
  return suits;
}

double TokenDirector::Suitability::rank(bool leavesZone) const {
  double tier = otherZone ? kTier : 0.0;
  if (leavesZone && !otherZone) {
    tier += 2 * kTier;
  }
  if (silent || avoided) {
    tier += 2 * kTier;
  }
  if (vanished) {
    tier += 4 * kTier;
  }
  return tier + load;
}

ForwardToHost TokenDirector::forward(const Host& host, uint32_t token) const {
  return {host.id, host.spec.endpoint, host.spec.incarnation, token, {host.spec.name, host.pool}};
}

bool TokenDirector::awaitsPool(const ServiceEntry& service) const {
  return std::any_of(service.groups.begin(), service.groups.end(), [&](const Group& group) {
    return pools_.find(group.group.pool) == pools_.end();
  });
}

size_t TokenDirector::listedHostCount() const {
  return static_cast<size_t>(std::count_if(hosts_.begin(), hosts_.end(),
                                           [](const auto& entry) { return entry.second.listed; }));
}

std::optional<ServiceMatch> TokenDirector::find(uint32_t address, uint16_t port,
                                                TransportProtocol protocol) const {
  const auto place = listeners_.find(listenKey(address, port, protocol));
  if (place == listeners_.end()) {
    return std::nullopt;
  }
  return ServiceMatch{place->second, true};
}

}  // namespace umberhold
