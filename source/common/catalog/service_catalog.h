/**
 * @file The applied configuration, indexed for packet processing and placement.
 *
 * For every service of the system it keeps a few dozen bytes (virtual address to identifier); only
 * services of this node's own region are stored completely.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/base/result.h"
#include "common/config/record.h"
#include "common/config/service_source.h"
#include "common/flow/service_lookup.h"
#include "common/wire/codec_error.h"

namespace umberhold {

/** Notified of every change of the catalogue, after it has taken effect. */
class CatalogObserver {
 public:
  virtual ~CatalogObserver() = default;
  /** A service of this region is new or changed. */
  virtual void onServiceChanged(ServiceId id, const Service& service) = 0;
  /** A service of this region was deleted, or moved to another region. */
  virtual void onServiceDeleted(ServiceId id) = 0;
  virtual void onPolicyChanged(const Policy& policy) = 0;
  virtual void onPolicyDeleted(const std::string& name) = 0;
};

/** Result of applying a record. */
enum class ApplyOutcome : uint8_t {
  kApplied,
  /** The catalogue already has this version or a newer one. */
  kNotNewer,
  /** The catalogue doesn't store records of this kind. */
  kOtherKind,
};

/**
 * See the file comment. A record never replaces a newer one, including a deletion, so records may
 * arrive in any order and more than once. A record that can't be decoded leaves the object
 * unchanged. Not thread safe.
 */
class ServiceCatalog : public ServiceSource, public ServiceLookup {
 public:
  /** @param homeRegion name of this node's region. */
  explicit ServiceCatalog(std::string homeRegion);

  /** @param observer borrowed; must outlive the catalogue. */
  void addObserver(CatalogObserver* observer);

  Result<ApplyOutcome, DecodeError> apply(const ConfigRecord& record);

  // ServiceSource
  const Service* find(ServiceId id) const override;
  void forEach(const std::function<void(ServiceId, const Service&)>& visitor) const override;

  // ServiceLookup
  std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                   TransportProtocol protocol) const override;

  /** @return the policy, or nullptr; valid until the next change. */
  const Policy* findPolicy(const std::string& name) const;
  /** @return number of services of all regions, without deleted ones. */
  size_t serviceCount() const { return liveServices_; }
  size_t policyCount() const { return policies_.size(); }
  size_t homeServiceCount() const { return homeServices_.size(); }
  /** @return number of virtual addresses claimed by more than one service; such an address is
   * assigned to the lowest identifier.
   */
  size_t contestedAddressCount() const { return contested_.size(); }

 private:
  /** Address, port and protocol in one integer; 0 for none. */
  using ListenKey = uint64_t;

  /** Entry of every service, including tombstones. */
  struct ServiceEntry {
    uint64_t version = 0;
    ListenKey listen = 0;
  };
  struct PolicyEntry {
    uint64_t version = 0;
    std::optional<Policy> policy;
  };

  static ListenKey listenKey(uint32_t address, uint16_t port, TransportProtocol protocol);

  Result<ApplyOutcome, DecodeError> applyService(const ConfigRecord& record);
  Result<ApplyOutcome, DecodeError> applyPolicy(const ConfigRecord& record);
  void deleteService(ServiceId id, ServiceEntry& entry);
  void setService(ServiceId id, ServiceEntry& entry, Service service);
  void removeHomeService(ServiceId id);
  void listenOn(ServiceId id, ServiceEntry& entry, ListenKey key);
  void releaseAddress(ServiceEntry& entry);
  /** Assigns a contested address to the lowest identifier that claims it. */
  void reassignAddress(ListenKey key);

  const std::string homeRegion_;
  std::vector<CatalogObserver*> observers_;
  std::unordered_map<ServiceId, ServiceEntry> entries_;
  std::unordered_map<ListenKey, ServiceId> listeners_;
  std::set<ListenKey> contested_;
  std::unordered_map<ServiceId, Service> homeServices_;
  std::unordered_map<std::string, PolicyEntry> policies_;
  size_t liveServices_ = 0;
};

}  // namespace umberhold
