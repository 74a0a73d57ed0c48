#include "common/catalog/service_catalog.h"

#include <algorithm>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

constexpr unsigned kAddressShift = 24;
constexpr unsigned kPortShift = 8;

}  // namespace

ServiceCatalog::ServiceCatalog(std::string homeRegion) : homeRegion_(std::move(homeRegion)) {}

void ServiceCatalog::addObserver(CatalogObserver* observer) {
  observers_.push_back(observer);
}

Result<ApplyOutcome, DecodeError> ServiceCatalog::apply(const ConfigRecord& record) {
  switch (record.key.kind) {
    case ObjectKind::kService:
      return applyService(record);
    case ObjectKind::kPolicy:
      return applyPolicy(record);
    default:
      return ApplyOutcome::kOtherKind;
  }
}

const Service* ServiceCatalog::find(ServiceId id) const {
  const auto found = homeServices_.find(id);
  return found == homeServices_.end() ? nullptr : &found->second;
}

void ServiceCatalog::forEach(const std::function<void(ServiceId, const Service&)>& visitor) const {
  for (const auto& [id, service] : homeServices_) {
    visitor(id, service);
  }
}

std::optional<ServiceMatch> ServiceCatalog::find(uint32_t address, uint16_t port,
                                                 TransportProtocol protocol) const {
  const auto found = listeners_.find(listenKey(address, port, protocol));
  if (found == listeners_.end()) {
    return std::nullopt;
  }
  return ServiceMatch{found->second, homeServices_.count(found->second) > 0};
}

const Policy* ServiceCatalog::findPolicy(const std::string& name) const {
  const auto found = policies_.find(name);
  return found == policies_.end() || !found->second.policy ? nullptr : &*found->second.policy;
}

ServiceCatalog::ListenKey ServiceCatalog::listenKey(uint32_t address, uint16_t port,
                                                    TransportProtocol protocol) {
  return (ListenKey{address} << kAddressShift) | (ListenKey{port} << kPortShift) |
         static_cast<ListenKey>(protocol);
}

Result<ApplyOutcome, DecodeError> ServiceCatalog::applyService(const ConfigRecord& record) {
  const ServiceId id = serviceIdOf(record.key.name);
  const auto known = entries_.find(id);
  if (known != entries_.end() && known->second.version >= record.version) {
    return ApplyOutcome::kNotNewer;
  }
  if (record.deleted) {
    ServiceEntry& entry = entries_[id];
    entry.version = record.version;
    deleteService(id, entry);
    return ApplyOutcome::kApplied;
  }
  auto decoded = decodeService(record.payload);
  if (!isOk(decoded)) {
    return errorOf(decoded);
  }
  ServiceEntry& entry = entries_[id];
  entry.version = record.version;
  setService(id, entry, std::move(valueOf(decoded)));
  return ApplyOutcome::kApplied;
}

Result<ApplyOutcome, DecodeError> ServiceCatalog::applyPolicy(const ConfigRecord& record) {
  const auto known = policies_.find(record.key.name);
  if (known != policies_.end() && known->second.version >= record.version) {
    return ApplyOutcome::kNotNewer;
  }
  std::optional<Policy> policy;
  if (!record.deleted) {
    auto decoded = decodePolicy(record.payload);
    if (!isOk(decoded)) {
      return errorOf(decoded);
    }
    policy = std::move(valueOf(decoded));
  }
  PolicyEntry& entry = policies_[record.key.name];
  const bool existed = entry.policy.has_value();
  entry.version = record.version;
  entry.policy = std::move(policy);
  for (CatalogObserver* observer : observers_) {
    if (entry.policy) {
      observer->onPolicyChanged(*entry.policy);
    } else if (existed) {
      observer->onPolicyDeleted(record.key.name);
    }
  }
  return ApplyOutcome::kApplied;
}

void ServiceCatalog::deleteService(ServiceId id, ServiceEntry& entry) {
  releaseAddress(entry);
  removeHomeService(id);
}

void ServiceCatalog::setService(ServiceId id, ServiceEntry& entry, Service service) {
  const ListenKey key = listenKey(service.address, service.port, service.protocol);
  if (entry.listen != key) {
    releaseAddress(entry);
    listenOn(id, entry, key);
  }
  if (service.region != homeRegion_) {
    removeHomeService(id);
    return;
  }
  Service& kept = homeServices_[id];
  kept = std::move(service);
  for (CatalogObserver* observer : observers_) {
    observer->onServiceChanged(id, kept);
  }
}

void ServiceCatalog::removeHomeService(ServiceId id) {
  if (homeServices_.erase(id) == 0) {
    return;
  }
  for (CatalogObserver* observer : observers_) {
    observer->onServiceDeleted(id);
  }
}

void ServiceCatalog::listenOn(ServiceId id, ServiceEntry& entry, ListenKey key) {
  entry.listen = key;
  ++liveServices_;
  const auto [found, isFree] = listeners_.try_emplace(key, id);
  if (!isFree) {
    contested_.insert(key);
    found->second = std::min(found->second, id);
  }
}

void ServiceCatalog::releaseAddress(ServiceEntry& entry) {
  if (entry.listen == 0) {
    return;
  }
  const ListenKey key = entry.listen;
  entry.listen = 0;
  --liveServices_;
  if (contested_.count(key) > 0) {
    reassignAddress(key);
  } else {
    listeners_.erase(key);
  }
}

void ServiceCatalog::reassignAddress(ListenKey key) {
  size_t claims = 0;
  std::optional<ServiceId> lowest;
  for (const auto& [id, entry] : entries_) {
    if (entry.listen == key) {
      ++claims;
      lowest = lowest ? std::min(*lowest, id) : id;
    }
  }
  if (claims < 2) {
    contested_.erase(key);
  }
  if (lowest) {
    listeners_[key] = *lowest;
  } else {
    listeners_.erase(key);
  }
}

}  // namespace umberhold
