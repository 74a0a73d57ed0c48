/**
 * @file What the applied configuration says, in the form that packets and placement ask for.
 *
 * Of every service of the system it keeps a few dozen bytes (virtual address to identifier); only
 * services of this node's own region are kept whole.
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

/** Is notified of every change of the catalogue, after it took effect. */
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

/** What became of a record. */
enum class ApplyOutcome : uint8_t {
  kApplied,
  /** The catalogue already holds this version or a newer one. */
  kNotNewer,
  /** The record's kind is none of the catalogue's. */
  kOtherKind,
};

/**
 * The catalogue. A record never replaces a newer one, a deletion included, so records may come in
 * any order and repeated. A record that can't be decoded leaves the object as it was. Not thread
 * safe.
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
  /** @return live services of all regions. */
  size_t serviceCount() const { return liveServices_; }
  size_t policyCount() const { return policies_.size(); }
  size_t homeServiceCount() const { return homeServices_.size(); }
  /** @return virtual addresses that more than one service claims; the lowest identifier has them.
   */
  size_t contestedAddressCount() const { return contested_.size(); }

 private:
  /** Address, port and protocol in one integer; 0 for none. */
  using ListenKey = uint64_t;

  /** What is kept of every service, tombstones included. */
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
  void dropHomeService(ServiceId id);
  void listenOn(ServiceId id, ServiceEntry& entry, ListenKey key);
  void releaseAddress(ServiceEntry& entry);
  /** Gives a contested address to the lowest identifier that claims it. */
  void settle(ListenKey key);

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
