#include "common/shard/baseline_director.h"

#include <vector>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr uint8_t kUniformWeight = 255;

}  // namespace

FlowDecision PlainHashDirector::decide(TimePoint /*now*/, const FlowPacket& packet,
                                       std::string_view /*bytes*/) {
  const Service* service = services_.find(packet.service);
  if (service == nullptr) {
    return DropPacket{DropReason::kUnknownService};
  }
  std::vector<const HostSpec*> active;
  for (const HostSpec& host : service->hosts) {
    if (host.state == HostState::kActive) {
      active.push_back(&host);
    }
  }
  if (active.empty()) {
    return DropPacket{DropReason::kNoHost};
  }
  const HostSpec& host = *active[packet.hash.value % active.size()];
  return ForwardToHost{hostIdOf(packet.service, host.name), host.endpoint};
}

LocalTableDirector::LocalService* LocalTableDirector::find(ServiceId id) {
  const auto known = locals_.find(id);
  if (known != locals_.end()) {
    return &known->second;
  }
  const Service* service = services_.find(id);
  if (service == nullptr) {
    return nullptr;
  }
  LocalService& local = locals_[id];
  local.flowSlot = flows_.addShard(service->idleTimeoutSeconds);
  update(local, id, *service);
  return &local;
}

void LocalTableDirector::update(LocalService& local, ServiceId id, const Service& service) {
  local.hosts.update(id, service);
  for (HostSlot& slot : local.slots.all()) {
    const HostRecord* record = local.hosts.find(slot.host);
    slot.usable = slot.usable && record != nullptr && record->endpoint == slot.endpoint;
  }
  std::vector<BaseHost> active;
  for (const HostSpec& host : service.hosts) {
    if (host.state == HostState::kActive) {
      active.push_back(BaseHost{hostIdOf(id, host.name), kUniformWeight});
    }
  }
  local.table = BaseTable(std::move(active));
}

void LocalTableDirector::onServiceChanged(ServiceId id) {
  const auto known = locals_.find(id);
  if (known == locals_.end()) {
    return;
  }
  if (const Service* service = services_.find(id)) {
    update(known->second, id, *service);
  } else {
    flows_.removeShard(known->second.flowSlot);
    locals_.erase(known);
  }
}

FlowDecision LocalTableDirector::decide(TimePoint now, const FlowPacket& packet,
                                        std::string_view /*bytes*/) {
  LocalService* local = find(packet.service);
  if (local == nullptr) {
    return DropPacket{DropReason::kUnknownService};
  }
  const auto entry = flows_.touch(now, local->flowSlot, packet.hash, packet.phase);
  if (entry && local->slots.at(entry->hostSlot).usable) {
    const HostSlot& slot = local->slots.at(entry->hostSlot);
    return ForwardToHost{slot.host, slot.endpoint};
  }
  return place(now, *local, packet);
}

FlowDecision LocalTableDirector::place(TimePoint now, LocalService& local,
                                       const FlowPacket& packet) {
  const auto host = local.table.defaultHost(packet.hash);
  const HostRecord* record = host ? local.hosts.find(*host) : nullptr;
  if (record == nullptr) {
    return DropPacket{DropReason::kNoHost};
  }
  const NewFlow flow{local.flowSlot, packet.hash,  local.slots.enter(*host, record->endpoint),
                     false,          packet.phase, packet.key.caller.address};
  const auto inserted = flows_.insert(now, flow);
  if (!isOk(inserted)) {
    return DropPacket{errorOf(inserted)};
  }
  return ForwardToHost{*host, record->endpoint};
}

}  // namespace umberhold
