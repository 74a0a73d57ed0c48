#include "common/shard/shard_director.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr Duration kHostCheckInterval = std::chrono::seconds(1);
/** A zone with a single member that becomes unreachable is more likely dead than partitioned. */
constexpr Duration kSingleMemberZoneTimeout = std::chrono::seconds(15);

}  // namespace

ShardDirector::ShardDirector(const ShardDirectorOptions& options, const ShardDirectorParts& parts,
                             uint64_t seed)
    : services_(parts.services),
      flows_(parts.flows),
      map_(parts.view.self()),
      context_{options,
               parts.view,
               map_,
               parts.flows,
               parts.messages,
               parts.held,
               ByteBudget(options.replication),
               ByteBudget(options.snapshots),
               ByteBudget(options.knownFlows),
               ByteBudget(options.completeLists),
               ByteBudget(options.handoverLists),
               {},
               0,
               {},
               false,
               false,
               {},
               {},
               false,
               {}},
      // The check takes ExceptionBudget for a C++ exception; it limits exceptions to the base
      // table.
      exceptionBudget_(options.exceptions),  // NOLINT(bugprone-throw-keyword-missing)
      localTable_(parts.services, parts.flows),
      seed_(seed) {
  flows_.setObserver(this);
  parts.view.forEach([this](const Member& member) {
    map_.onMember(member);
    context_.memberDied = context_.memberDied || member.state == MemberState::kDead;
  });
}

ShardDirector::~ShardDirector() {
  flows_.setObserver(nullptr);
}

LocalShard* ShardDirector::find(const ShardId& id) const {
  const auto known = shards_.find(id);
  return known == shards_.end() ? nullptr : known->second.get();
}

ServiceRuntime* ShardDirector::runtimeOf(TimePoint now, ServiceId id) {
  const auto known = runtimes_.find(id);
  if (known != runtimes_.end()) {
    return known->second.get();
  }
  const Service* service = services_.find(id);
  if (service == nullptr) {
    return nullptr;
  }
  auto runtime = std::make_unique<ServiceRuntime>();
  runtime->id = id;
  runtime->hosts.update(id, *service);
  runtime->idleTimeoutSeconds = service->idleTimeoutSeconds;
  runtime->protocol = service->protocol;
  if (const auto created = serviceCreationTimes_.find(id); created != serviceCreationTimes_.end()) {
    runtime->createdAt = created->second;
  }
  ServicePlacementOptions options;
  options.zoneName = context_.options.zoneName;
  runtime->placement = std::make_unique<ServicePlacement>(now, *service, options, exceptionBudget_,
                                                          mixHash(seed_, id.value));
  return runtimes_.emplace(id, std::move(runtime)).first->second.get();
}

LocalShard* ShardDirector::findOrMake(TimePoint now, const ShardId& id) {
  if (LocalShard* known = find(id)) {
    return known;
  }
  ServiceRuntime* runtime = runtimeOf(now, id.service);
  if (runtime == nullptr || !map_.lookup(id)) {
    return nullptr;
  }
  return shards_.emplace(id, std::make_unique<LocalShard>(context_, *runtime, id))
      .first->second.get();
}

FlowDecision ShardDirector::decide(TimePoint now, const FlowPacket& packet,
                                   std::string_view bytes) {
  detectPause(now);
  now_ = now;
  const Service* service = services_.find(packet.service);
  if (service == nullptr || service->shardCount == 0) {
    return DropPacket{DropReason::kUnknownService};
  }
  const ShardId id{packet.service, static_cast<uint16_t>(packet.hash.value % service->shardCount)};
  LocalShard* shard = find(id);
  const auto assignment = map_.lookup(id);
  if (shard == nullptr && assignment && assignment->owner == context_.self()) {
    shard = findOrMake(now, id);
  }
  if (shard != nullptr) {
    return applyRelayOption(now, packet, bytes, shard->decide(now, packet, bytes));
  }
  const Member* owner = assignment ? context_.view.find(assignment->owner) : nullptr;
  if (owner == nullptr) {
    return DropPacket{DropReason::kNoOwner};
  }
  return applyRelayOption(now, packet, bytes, RelayToNode{owner->id, owner->relayEndpoint()});
}

FlowDecision ShardDirector::applyRelayOption(TimePoint now, const FlowPacket& packet,
                                             std::string_view bytes, FlowDecision decision) {
  const bool relays = std::holds_alternative<RelayToNode>(decision);
  if (relays && !context_.options.ownerRelay) {
    return localTable_.decide(now, packet, bytes);
  }
  return decision;
}

void ShardDirector::tick(TimePoint now, UnixSeconds unixNow) {
  detectPause(now);
  lastTick_ = now;
  now_ = now;
  context_.unixNow = unixNow;
  flows_.tick(now);
  updateZonePartitionSuspicion(now);
  checkHosts(now);
  tickShards(now);
  shareLoads(now);
  requestPermits(now);
  dropUnusedShards();
}

void ShardDirector::detectPause(TimePoint now) {
  if (lastTick_ && now - *lastTick_ >= context_.options.pauseThreshold) {
    context_.baseOnlyUntil = now + context_.options.baseOnlyTime;
    for (auto& [id, shard] : shards_) {
      shard->reconfirmOwnership(now);
    }
    lastTick_ = now;
  }
}

void ShardDirector::updateZonePartitionSuspicion(TimePoint now) {
  context_.zonePartitionSuspected = false;
  for (const auto& [zone, unreachable] : unreachableZones_) {
    const Duration timeout =
        unreachable.members > 1 ? context_.options.zonePartitionTimeout : kSingleMemberZoneTimeout;
    context_.zonePartitionSuspected =
        context_.zonePartitionSuspected || now - unreachable.since < timeout;
  }
}

void ShardDirector::onMemberChanged(const Member& member) {
  map_.onMember(member);
  if (member.state == MemberState::kLeaving) {
    departedMembers_.insert(member.id);
  } else if (member.state != MemberState::kDead) {
    departedMembers_.erase(member.id);
  }
  std::unordered_map<ZoneId, size_t> deadMembersByZone;
  std::unordered_set<ZoneId> reachableZones;
  context_.view.forEach([&](const Member& other) {
    if (other.state != MemberState::kDead) {
      reachableZones.insert(other.zone);
    } else if (!departedMembers_.contains(other.id)) {
      ++deadMembersByZone[other.zone];
    }
  });
  context_.memberDied = !deadMembersByZone.empty();
  if (member.state == MemberState::kDead && !departedMembers_.contains(member.id)) {
    context_.lastDeath = now_;
  }
  const auto healed = std::erase_if(unreachableZones_, [&](const auto& entry) {
    return reachableZones.contains(entry.first) || !deadMembersByZone.contains(entry.first);
  });
  if (healed > 0) {
    context_.lastHeal = now_;
  }
  for (const auto& [zone, members] : deadMembersByZone) {
    if (!reachableZones.contains(zone)) {
      unreachableZones_.try_emplace(zone, UnreachableZone{now_, members});
    }
  }
  updateZonePartitionSuspicion(now_);
}

void ShardDirector::tickShards(TimePoint now) {
  for (const ShardId& id : map_.takeChangedShards()) {
    const auto assignment = map_.lookup(id);
    if (assignment && assignment->owner == context_.self() && !context_.leaving) {
      findOrMake(now, id);
    }
  }
  for (auto& [id, shard] : shards_) {
    shard->tick(now);
  }
  sendReplication(now);
}

void ShardDirector::sendReplication(TimePoint now) {
  std::vector<LocalShard*> order;
  order.reserve(shards_.size());
  for (const auto& [id, shard] : shards_) {
    order.push_back(shard.get());
  }
  std::stable_sort(order.begin(), order.end(), [](const LocalShard* left, const LocalShard* right) {
    return left->pendingReplicationSince() < right->pendingReplicationSince();
  });
  for (LocalShard* shard : order) {
    shard->sendReplication(now);
  }
}

void ShardDirector::dropUnusedShards() {
  std::erase_if(shards_, [](const auto& entry) { return entry.second->isUnused(); });
  std::erase_if(runtimes_, [this](const auto& runtime) {
    return std::none_of(shards_.begin(), shards_.end(),
                        [&](const auto& shard) { return shard.first.service == runtime.first; });
  });
}

void ShardDirector::checkHosts(TimePoint now) {
  if (now - lastHostCheck_ < kHostCheckInterval) {
    return;
  }
  lastHostCheck_ = now;
  // A drain deadline may have passed.
  for (auto& [id, shard] : shards_) {
    shard->onHostsChanged(now);
  }
}

void ShardDirector::onServiceChanged(TimePoint now, ServiceId id) {
  now_ = std::max(now_, now);
  const Service* service = services_.find(id);
  if (service == nullptr) {
    return;
  }
  if (knownServices_.insert(id).second && caughtUp_) {
    serviceCreationTimes_[id] = now;
  }
  map_.setService(id, service->shardCount);
  localTable_.onServiceChanged(id);
  const auto runtime = runtimes_.find(id);
  if (runtime == runtimes_.end()) {
    return;
  }
  runtime->second->hosts.update(id, *service);
  runtime->second->placement->updateService(now, *service);
  runtime->second->idleTimeoutSeconds = service->idleTimeoutSeconds;
  runtime->second->protocol = service->protocol;
  for (auto& [shardId, shard] : shards_) {
    if (shardId.service == id) {
      flows_.setIdleTimeout(shard->flowSlot(), service->idleTimeoutSeconds);
      shard->onHostsChanged(now);
      shard->flushKnownFlows();
    }
  }
}

void ShardDirector::onServiceDeleted(TimePoint now, ServiceId id) {
  now_ = std::max(now_, now);
  map_.removeService(id);
  localTable_.onServiceChanged(id);
  knownServices_.erase(id);
  serviceCreationTimes_.erase(id);
  std::erase_if(shards_, [&](const auto& entry) { return entry.first.service == id; });
  runtimes_.erase(id);
}

void ShardDirector::setAdmitting(ServiceId id, bool admitting) {
  const auto runtime = runtimes_.find(id);
  if (runtime != runtimes_.end()) {
    runtime->second->admitting = admitting;
  }
}

void ShardDirector::leave(TimePoint now) {
  now_ = std::max(now_, now);
  context_.leaving = true;
}

bool ShardDirector::handedOver() const {
  return pendingHandovers().empty();
}

std::vector<PendingHandover> ShardDirector::pendingHandovers() const {
  std::vector<PendingHandover> pending;
  for (const auto& [id, shard] : shards_) {
    const auto assignment = map_.lookup(id);
    const bool noSuccessor = !assignment || assignment->owner == context_.self();
    if (!noSuccessor && !shard->isHandedOver(now_)) {
      pending.push_back(shard->pendingHandover());
    }
  }
  return pending;
}

ServicePlacement* ShardDirector::placementOf(ServiceId id) {
  const auto runtime = runtimes_.find(id);
  return runtime == runtimes_.end() ? nullptr : runtime->second->placement.get();
}

void ShardDirector::forEachPlacement(
    const std::function<void(ServiceId, ServicePlacement&)>& visitor) {
  for (auto& [id, runtime] : runtimes_) {
    visitor(id, *runtime->placement);
  }
}

PlacementExplanation ShardDirector::explain(TimePoint now, ServiceId service, FlowHash flow) const {
  PlacementExplanation answer;
  const Service* known = services_.find(service);
  if (known == nullptr || known->shardCount == 0) {
    return answer;
  }
  const ShardId id{service, static_cast<uint16_t>(flow.value % known->shardCount)};
  if (const LocalShard* shard = find(id)) {
    return shard->explain(now, flow);
  }
  answer.shard = id;
  if (const auto assignment = map_.lookup(id)) {
    answer.owner = assignment->owner;
  }
  return answer;
}

std::vector<ShardStats> ShardDirector::shardStats(TimePoint now) const {
  std::vector<ShardStats> stats;
  for (const auto& [id, shard] : shards_) {
    stats.push_back(shard->stats(now));
  }
  return stats;
}

uint32_t ShardDirector::ownedShards() const {
  return static_cast<uint32_t>(std::count_if(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second->role() == ShardRole::kOwner;
  }));
}

void ShardDirector::onFlowRemoved(uint32_t shardSlot, const FlowEntry& entry,
                                  RemovalCause /*cause*/) {
  for (auto& [id, shard] : shards_) {
    if (shard->flowSlot() == shardSlot) {
      shard->onFlowRemoved(now_, entry);
      return;
    }
  }
}

}  // namespace umberhold
