#include "common/token/token_director.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr unsigned kAddressShift = 24;
constexpr unsigned kPortShift = 8;

uint64_t listenKey(uint32_t address, uint16_t port, TransportProtocol protocol) {
  return (uint64_t{address} << kAddressShift) | (uint64_t{port} << kPortShift) |
         static_cast<uint64_t>(protocol);
}

}  // namespace

TokenDirector::TokenDirector(TokenOptions options, RandomSource& random)
    : random_(random),
      zone_(std::move(options.zone)),
      coldHosts_(options.coldHosts),
      overflow_(options.overflow),
      hosts_(options.flowLife),
      placement_(zone_, options.placement, random),
      admission_(options.openings, options.room),
      deadHostFlows_(options.flowLife) {}

std::vector<HostChange> TokenDirector::setPool(TimePoint now, const HostPool& pool,
                                               uint64_t version) {
  std::vector<HostChange> changes = hosts_.setPool(now, pool, version);
  handleChanges(now, changes);
  const TokenPool& entry = *hosts_.findPool(pool.name);
  for (TokenHost* host : entry.hosts) {
    if (std::exchange(host->hasNewColdTime, false) &&
        beginCold(now, entry, *host, std::chrono::milliseconds(host->spec.coldMilliseconds))) {
      changes.push_back({HostChangeKind::kCold, pool.name, host->spec});
    }
  }
  return changes;
}

std::vector<HostChange> TokenDirector::removePool(TimePoint now, const std::string& name,
                                                  uint64_t version) {
  std::vector<HostChange> changes = hosts_.removePool(now, name, version);
  admission_.removePool(name);
  handleChanges(now, changes);
  return changes;
}

void TokenDirector::handleChanges(TimePoint now, const std::vector<HostChange>& changes) {
  std::set<uint32_t> ended;
  std::set<uint32_t> added;
  for (const HostChange& change : changes) {
    if (change.kind == HostChangeKind::kEnded) {
      ended.insert(flowTokenOf(change.host.incarnation));
    } else if (change.kind == HostChangeKind::kAdded) {
      added.insert(flowTokenOf(change.host.incarnation));
    } else if (change.kind == HostChangeKind::kRestarted) {
      handleRestart(now, flowTokenOf(change.host.incarnation), change.startedAt);
    }
  }
  deadHostFlows_.onEnded(now, ended, knownAsOf_);
  for (std::string& bytes : heldForHost_.takeByToken(now, added)) {
    released_.push_back(std::move(bytes));
  }
}

void TokenDirector::handleRestart(TimePoint now, uint32_t token,
                                  std::optional<TimePoint> startedAt) {
  openings_.discardHost(token);
  timer_.discardHost(token);
  if (startedAt) {
    deadHostFlows_.onRestarted(now, token, *startedAt);
  }
  if (TokenHost* host = hosts_.find(token)) {
    // Other nodes receive the update that the earlier silence is over.
    queueAckState(*host);
  }
}

void TokenDirector::setEvacuatedZones(TimePoint now, EvacuatedZones zones) {
  hosts_.forEachPool([&](const TokenPool& pool) {
    for (TokenHost* host : pool.hosts) {
      const std::string& zone = host->spec.zone;
      if (evacuated_.zones.contains(zone) && !zones.zones.contains(zone)) {
        beginCold(now, pool, *host, std::chrono::milliseconds(pool.cold.startMilliseconds));
      }
    }
  });
  evacuated_ = zones;
  placement_.setEvacuatedZones(std::move(zones));
}

bool TokenDirector::beginCold(TimePoint now, const TokenPool& pool, TokenHost& host,
                              Duration remaining) {
  if (pool.cold.requestsPerSecond <= 0.0) {
    return false;
  }
  const bool wasCold = host.cold.isCold(now);
  std::set<std::string_view> zones;
  for (const TokenHost* each : pool.hosts) {
    zones.insert(each->spec.zone);
  }
  const SendingNodes nodes{zoneNodes_, static_cast<uint32_t>(zones.size())};
  const bool ownZone = host.spec.zone == zone_;
  host.cold.begin(now, remaining, coldFlowsPerNode(coldHosts_, pool.cold, nodes, ownZone), random_);
  return !wasCold;
}

void TokenDirector::setService(const Service& service) {
  const ServiceId id = serviceIdOf(service.name);
  const auto before = services_.find(id);
  const UsualResponseTime usualTime =
      before == services_.end() ? UsualResponseTime{} : before->second.usualTime;
  const WorkTimes workTimes = before == services_.end() ? WorkTimes{} : before->second.workTimes;
  removeService(service.name);
  ServiceEntry& entry = services_[id];
  entry.usualTime = usualTime;
  entry.workTimes = workTimes;
  entry.name = service.name;
  entry.listen = listenKey(service.address, service.port, service.protocol);
  entry.repeatable = service.repeatable;
  entry.priority = service.priority;
  entry.requestTimeout = std::chrono::milliseconds(service.requestTimeoutMilliseconds);
  entry.targetLatency = std::chrono::milliseconds(service.targetLatencyMilliseconds);
  entry.groups = GroupShares(service.groups, random_);
  entry.overflow = SplitOverflow(overflow_, random_);
  listeners_[entry.listen] = id;
  removedListeners_.erase(entry.listen);
}

void TokenDirector::removeService(const std::string& name) {
  const auto place = services_.find(serviceIdOf(name));
  if (place == services_.end()) {
    return;
  }
  const auto listener = listeners_.find(place->second.listen);
  if (listener != listeners_.end() && listener->second == place->first) {
    removedListeners_.add(listener->first);
    listeners_.erase(listener);
  }
  services_.erase(place);
}

FlowDecision TokenDirector::decide(TimePoint now, const FlowPacket& packet,
                                   std::string_view bytes) {
  return packet.phase == PacketPhase::kOpening ? openFlow(now, packet, bytes)
                                               : continueFlow(now, packet, bytes);
}

FlowDecision TokenDirector::openFlow(TimePoint now, const FlowPacket& packet,
                                     std::string_view bytes) {
  const auto service = services_.find(packet.service);
  if (service == services_.end()) {
    return DropPacket{DropReason::kUnknownService};
  }
  deadHostFlows_.record(now, packet);
  const uint32_t avoided = recordRepeat(now, packet);
  // A retransmission of an opening that was placed is sent to another host without queueing,
  // because its caller has already waited.
  const AdmissionResult result =
      avoided == 0 ? admit(now, service->second, packet, bytes) : AdmissionResult{};
  if (result.decision == OpeningDecision::kWait) {
    return HoldPacket{HoldReason::kHostsBusy};
  }
  if (result.decision == OpeningDecision::kRefuse) {
    return RefuseFlow{RefusalReason::kHostsBusy};
  }
  TokenHost* host = result.pool.empty() ? place(now, service->second, avoided)
                                        : placeAt(now, service->second, result);
  if (host == nullptr) {
    return isMissingPool(service->second) ? FlowDecision(DropPacket{DropReason::kNoHost})
                                          : FlowDecision(RefuseFlow{});
  }
  host->estimate.onOpening(now);
  host->cold.onPlaced(now);
  openings_.onPlaced(now, packet.hash, host->token);
  admission_.onPlaced(now, host->pool, packet.hash, service->second.priority);
  ForwardToHost decision = forward(*host);
  decision.placement = &placement_.evidence();
  return decision;
}

TokenDirector::AdmissionResult TokenDirector::admit(TimePoint now, ServiceEntry& service,
                                                    const FlowPacket& packet,
                                                    std::string_view bytes) {
  if (admission_.isWaiting(packet.hash)) {
    // Without this check, a retransmission could be placed while the opening is still queued, for
    // example if its service no longer uses the pool that the opening waits for.
    admission_.hold(now, std::string(*admission_.poolOf(packet.hash)), service.needs(), packet.hash,
                    bytes);
    return {OpeningDecision::kWait, {}, {}};
  }
  const std::string* waited = poolWaitedFor(service, packet);
  const std::string* due = waited == nullptr ? service.groups.next() : waited;
  const TokenPool* pool = due == nullptr ? nullptr : hosts_.findPool(*due);
  if (pool == nullptr) {
    return {};
  }
  const auto size = [&] { return poolSizeOf(now, *pool); };
  // Passed by reference: copying the function would allocate memory for each opening.
  const OpeningDecision decision =
      admission_.decideOpening(now, *due, service.needs(), packet.hash, std::cref(size));
  if (decision == OpeningDecision::kPlace) {
    return {decision, waited == nullptr ? std::string{} : *waited, {}};
  }
  if (decision != OpeningDecision::kWait) {
    return {decision, {}, {}};
  }
  const std::string* other = overflowPool(now, service, *due);
  // The turn is charged now. Later openings therefore go to the other parts of the split too,
  // however long this one waits, and a part without room accumulates no credit.
  service.groups.takeTurn();
  if (other != nullptr) {
    return {OpeningDecision::kPlace, *other, *due};
  }
  admission_.hold(now, *due, service.needs(), packet.hash, bytes);
  return {decision, {}, {}};
}

PoolSize TokenDirector::poolSizeOf(TimePoint now, const TokenPool& pool) {
  return {placement_.usableSlots(now, pool), sendingNodes(pool)};
}

const std::string* TokenDirector::poolWaitedFor(const ServiceEntry& service,
                                                const FlowPacket& packet) const {
  const std::string* pool = admission_.poolOf(packet.hash);
  const auto index = pool == nullptr ? std::nullopt : service.groups.indexOf(*pool);
  return index ? &service.groups.pools()[*index] : nullptr;
}

const std::string* TokenDirector::overflowPool(TimePoint now, ServiceEntry& service,
                                               const std::string& due) {
  const std::vector<std::string>& pools = service.groups.pools();
  if (pools.size() < 2 || !overflow_.appliesTo(service.repeatable)) {
    return nullptr;
  }
  std::vector<SplitPart> parts;
  size_t dueIndex = 0;
  for (size_t index = 0; index < pools.size(); ++index) {
    dueIndex = pools[index] == due ? index : dueIndex;
    parts.push_back({service.groups.fractionOf(index), poolUseOf(now, pools[index])});
  }
  const auto chosen = service.overflow.choose(parts, dueIndex);
  return chosen ? &pools[*chosen] : nullptr;
}

PartUse TokenDirector::poolUseOf(TimePoint now, const std::string& pool) {
  const TokenPool* entry = hosts_.findPool(pool);
  const PoolSize size = entry == nullptr ? PoolSize{} : poolSizeOf(now, *entry);
  if (size.slots == 0.0) {
    return {};
  }
  const OpeningUse openings = admission_.openingsAt(now, pool, size);
  return {true, openings.openings, openings.limit, entry->requestsInFlight.value(now),
          size.slots / std::max(size.sendingNodes, 1U)};
}

uint32_t TokenDirector::sendingNodes(const TokenPool& pool) const {
  return zoneNodes_ * pool.zoneCount;
}

std::vector<std::string> TokenDirector::takeReleased(TimePoint now) {
  std::vector<std::string> released = std::exchange(released_, {});
  for (std::string& bytes : admission_.take(now)) {
    released.push_back(std::move(bytes));
  }
  return released;
}

FlowDecision TokenDirector::holdForHost(TimePoint now, const FlowPacket& packet,
                                        std::string_view bytes) {
  if (packet.token == 0 || packet.phase == PacketPhase::kReset) {
    return DropPacket{DropReason::kHostGone};
  }
  heldForHost_.hold(now, packet, bytes);
  return HoldPacket{HoldReason::kHostUnknown};
}

FlowDecision TokenDirector::continueFlow(TimePoint now, const FlowPacket& packet,
                                         std::string_view bytes) {
  if (isToRemovedService(packet) && (packet.token == 0 || isGoneFor(now, packet))) {
    return packet.phase == PacketPhase::kReset
               ? FlowDecision(DropPacket{DropReason::kUnknownService})
               : FlowDecision(RefuseFlow{RefusalReason::kServiceRemoved});
  }
  TokenHost* host = hosts_.find(packet.token);
  if (host == nullptr && !services_.contains(packet.service)) {
    return DropPacket{DropReason::kUnknownService};
  }
  if (host == nullptr) {
    // Any other host would receive a packet of a flow that it does not hold.
    return holdForHost(now, packet, bytes);
  }
  if (host->ended && packet.phase == PacketPhase::kReset) {
    return DropPacket{DropReason::kHostGone};
  }
  if (host->ended) {
    return isGoneFor(now, packet) ? FlowDecision(RefuseFlow{RefusalReason::kHostEnded})
                                  : holdForHost(now, packet, bytes);
  }
  recordRoundTrip(now, packet);
  if (openings_.onFollowed(packet.hash, packet.token)) {
    recordAnswered(now, *host);
  }
  deadHostFlows_.record(now, packet);
  const bool opened = recordOpened(now, packet);
  recordResponse(now, packet, *host, opened);
  const PacketProgress progress = progress_.record(now, packet);
  const bool isHostSilent = recordProgress(now, packet, progress, *host);
  const bool isToDeadHost =
      packet.dataBytes > 0 && host->isDead(now) && isRepeatable(packet.service);
  if (isHostSilent || isToDeadHost) {
    return refuseSilent(now, progress, *host, !isHostSilent);
  }
  host->estimate.onPacket(now);
  return forward(*host);
}

bool TokenDirector::isToRemovedService(const FlowPacket& packet) const {
  const Endpoint& address = packet.key.service;
  return !services_.contains(packet.service) &&
         removedListeners_.contains(listenKey(address.address, address.port, packet.key.protocol));
}

bool TokenDirector::isGoneFor(TimePoint now, const FlowPacket& packet) {
  if (deadHostFlows_.firstSeenAt(now, packet.hash).value_or(now) <= knownAsOf_) {
    return true;
  }
  deadHostFlows_.record(now, packet);
  return false;
}

uint32_t TokenDirector::recordRepeat(TimePoint now, const FlowPacket& packet) {
  const EarlierOpening earlier = openings_.earlierOf(now, packet.hash);
  TokenHost* host = earlier.token == 0 ? nullptr : hosts_.find(earlier.token);
  if (host != nullptr && !earlier.counted) {
    recordUnanswered(now, *host);
  }
  return earlier.token;
}

TokenHost* TokenDirector::place(TimePoint now, ServiceEntry& service, uint32_t avoided) {
  for (const GroupShares::Turn& turn : service.groups.begin()) {
    const TokenPool* pool = hosts_.findPool(turn.pool);
    TokenHost* host = pool == nullptr ? nullptr : placement_.place(now, *pool, avoided);
    if (host != nullptr) {
      service.groups.onPlaced(turn);
      recordEvidence(service, avoided);
      return host;
    }
  }
  return nullptr;
}

TokenHost* TokenDirector::placeAt(TimePoint now, ServiceEntry& service,
                                  const AdmissionResult& result) {
  TokenHost* host = placement_.place(now, *hosts_.findPool(result.pool), 0);
  if (host == nullptr) {
    return place(now, service, 0);
  }
  recordEvidence(service, 0);
  placement_.evidence().overflowFrom = result.overflowFrom;
  return host;
}

void TokenDirector::recordEvidence(const ServiceEntry& service, uint32_t avoided) {
  PlacementEvidence& evidence = placement_.evidence();
  const TokenHost* avoidedHost = hosts_.find(avoided);
  evidence.service = service.name;
  evidence.overflowFrom = {};
  evidence.avoidedHost = avoidedHost == nullptr ? std::string_view{} : avoidedHost->spec.name;
}

ForwardToHost TokenDirector::forward(const TokenHost& host) {
  return {
      host.id, host.spec.endpoint, host.spec.incarnation, host.token, {host.spec.name, host.pool}};
}

bool TokenDirector::isMissingPool(const ServiceEntry& service) const {
  const std::vector<std::string>& pools = service.groups.pools();
  return std::any_of(pools.begin(), pools.end(),
                     [&](const std::string& pool) { return hosts_.findPool(pool) == nullptr; });
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
