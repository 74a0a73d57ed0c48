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
  const auto place = homeServices_.find(id);
  return place == homeServices_.end() ? nullptr : &place->second;
}

void ServiceCatalog::forEach(const std::function<void(ServiceId, const Service&)>& visitor) const {
  for (const auto& [id, service] : homeServices_) {
    visitor(id, service);
  }
}

std::optional<ServiceMatch> ServiceCatalog::find(uint32_t address, uint16_t port,
                                                 TransportProtocol protocol) const {
  const auto place = listeners_.find(listenKey(address, port, protocol));
  if (place == listeners_.end()) {
    return std::nullopt;
  }
  return ServiceMatch{place->second, homeServices_.count(place->second) > 0};
}

const Policy* ServiceCatalog::findPolicy(const std::string& name) const {
  const auto place = policies_.find(name);
  return place == policies_.end() || !place->second.policy ? nullptr : &*place->second.policy;
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
  dropHomeService(id);
}

void ServiceCatalog::setService(ServiceId id, ServiceEntry& entry, Service service) {
  const ListenKey key = listenKey(service.address, service.port, service.protocol);
  if (entry.listen != key) {
    releaseAddress(entry);
    listenOn(id, entry, key);
  }
  if (service.region != homeRegion_) {
    dropHomeService(id);
    return;
  }
  Service& kept = homeServices_[id];
  kept = std::move(service);
  for (CatalogObserver* observer : observers_) {
    observer->onServiceChanged(id, kept);
  }
}

void ServiceCatalog::dropHomeService(ServiceId id) {
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
  const auto [place, isFree] = listeners_.try_emplace(key, id);
  if (!isFree) {
    contested_.insert(key);
    place->second = std::min(place->second, id);
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
    settle(key);
  } else {
    listeners_.erase(key);
  }
}

void ServiceCatalog::settle(ListenKey key) {
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
