/** @file Simulated store contents: the current configuration and all previous versions. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/config/record.h"
#include "common/config/service.h"
#include "common/wire/codec.h"

namespace umberhold {

/** The store of a fuzzed cluster. Versions increase across all objects. Not thread safe. */
class ConfigurationHistory {
 public:
  ConfigRecord put(const Service& service) {
    services_[service.name] = service;
    return add(ObjectKind::kService, service.name, false, valueOf(encodeService(service)));
  }
  ConfigRecord put(const Policy& policy) {
    return add(ObjectKind::kPolicy, policy.name, false, valueOf(encodePolicy(policy)));
  }
  ConfigRecord remove(const std::string& service) {
    services_.erase(service);
    return add(ObjectKind::kService, service, true, "");
  }

  /** @return the current service, or nothing if it is deleted. */
  std::optional<Service> service(const std::string& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? std::nullopt : std::optional<Service>(found->second);
  }
  uint32_t shards() const {
    uint32_t count = 0;
    for (const auto& [name, service] : services_) {
      count += service.shardCount;
    }
    return count;
  }
  /** @return all records, oldest first. */
  const std::vector<ConfigRecord>& all() const { return records_; }
  /** @return the newest record of every object, including tombstones. */
  std::vector<ConfigRecord> newest() const {
    std::map<RecordKey, ConfigRecord> latest;
    for (const ConfigRecord& record : records_) {
      latest[record.key] = record;
    }
    std::vector<ConfigRecord> records;
    for (const auto& [key, record] : latest) {
      records.push_back(record);
    }
    return records;
  }
  /** @return the next version of the object after the given one, or 0. */
  uint64_t successor(const RecordKey& key, uint64_t version) const {
    for (const ConfigRecord& record : records_) {
      if (record.key == key && record.version > version) {
        return record.version;
      }
    }
    return 0;
  }

 private:
  ConfigRecord add(ObjectKind kind, const std::string& name, bool deleted, std::string payload) {
    records_.push_back(
        ConfigRecord{RecordKey{kind, name}, ++version_, deleted, std::move(payload)});
    return records_.back();
  }

  uint64_t version_ = 0;
  std::map<std::string, Service> services_;
  std::vector<ConfigRecord> records_;
};

}  // namespace umberhold
