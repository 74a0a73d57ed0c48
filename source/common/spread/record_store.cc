#include "common/spread/record_store.h"

#include <algorithm>
#include <cstring>
#include <limits>

#include "common/base/hash.h"

namespace umberhold {
namespace {

/** Number of recent changes for which the previous total is kept. */
constexpr size_t kRetainedChanges = 32;

uint64_t hashOf(const RecordKey& key) {
  return mixHash(hashBytes(key.name), static_cast<uint64_t>(key.kind));
}

uint32_t bucketOfHash(uint64_t keyHash) {
  return static_cast<uint32_t>(keyHash % kDigestBuckets);
}

uint64_t contentHash(std::string_view payload, bool deleted) {
  return mixHash(hashBytes(payload), deleted ? 1 : 0);
}

/** Compares versions; if they are equal, content hashes, so that all nodes keep the same record. */
bool isNewer(const ConfigRecord& record, const RecordView& known) {
  if (record.version != known.version) {
    return record.version > known.version;
  }
  return contentHash(record.payload, record.deleted) > contentHash(known.payload, known.deleted);
}

}  // namespace

uint32_t digestBucketOf(const RecordKey& key) {
  return bucketOfHash(hashOf(key));
}

RecordView RecordStore::Entry::view() const {
  return RecordView{kind, std::string_view(bytes.get(), nameSize), version, deleted,
                    std::string_view(bytes.get() + nameSize, payloadSize)};
}

const RecordStore::Entry* RecordStore::findEntry(const RecordKey& key) const {
  const uint64_t keyHash = hashOf(key);
  for (const Entry& entry : buckets_[bucketOfHash(keyHash)]) {
    if (entry.keyHash == keyHash && entry.kind == key.kind && entry.view().name == key.name) {
      return &entry;
    }
  }
  return nullptr;
}

bool RecordStore::apply(const ConfigRecord& record) {
  if (record.key.name.size() > std::numeric_limits<uint16_t>::max()) {
    return false;
  }
  const uint64_t keyHash = hashOf(record.key);
  auto* known = const_cast<Entry*>(findEntry(record.key));
  if (known != nullptr ? !isNewer(record, known->view()) : isTooOldTombstone(record, keyHash)) {
    return false;
  }
  const uint64_t totalBefore = total_;
  replace(known, record, keyHash);
  trimTombstones();
  recordChange(totalBefore, record.key);
  if (record.key.kind != ObjectKind::kRegionContacts) {
    highestVersion_ = std::max(highestVersion_, record.version);
  }
  for (RecordObserver* observer : observers_) {
    observer->onRecordApplied(record);
  }
  return true;
}

bool RecordStore::isTooOldTombstone(const ConfigRecord& record, uint64_t keyHash) const {
  return record.deleted && tombstones_.size() == kMaxTombstones &&
         TombstoneOrder{record.version, keyHash} < *tombstones_.begin();
}

void RecordStore::replace(Entry* known, const ConfigRecord& record, uint64_t keyHash) {
  if (known == nullptr) {
    known = &buckets_[bucketOfHash(keyHash)].emplace_back();
    ++size_;
  } else {
    toggleDigest(*known);
    bytes_ -= known->nameSize + known->payloadSize;
    if (known->deleted) {
      tombstones_.erase({known->version, keyHash});
    }
  }
  const std::string& name = record.key.name;
  known->keyHash = keyHash;
  known->version = record.version;
  known->bytes = std::make_unique_for_overwrite<char[]>(name.size() + record.payload.size());
  std::memcpy(known->bytes.get(), name.data(), name.size());
  std::memcpy(known->bytes.get() + name.size(), record.payload.data(), record.payload.size());
  bytes_ += name.size() + record.payload.size();
  known->payloadSize = static_cast<uint32_t>(record.payload.size());
  known->nameSize = static_cast<uint16_t>(name.size());
  known->kind = record.key.kind;
  known->deleted = record.deleted;
  if (record.deleted) {
    tombstones_.insert({record.version, keyHash});
  }
  toggleDigest(*known);
}

void RecordStore::toggleDigest(const Entry& entry) {
  const RecordView view = entry.view();
  const uint64_t hash =
      mixHash(mixHash(entry.keyHash, entry.version), contentHash(view.payload, view.deleted));
  digests_[bucketOfHash(entry.keyHash)] ^= hash;
  total_ ^= hash;
}

void RecordStore::trimTombstones() {
  while (tombstones_.size() > kMaxTombstones) {
    const auto [version, keyHash] = *tombstones_.begin();
    tombstones_.erase(tombstones_.begin());
    removeEntry(keyHash, version);
  }
}

void RecordStore::removeEntry(uint64_t keyHash, uint64_t version) {
  Bucket& bucket = buckets_[bucketOfHash(keyHash)];
  const auto found = std::find_if(bucket.begin(), bucket.end(), [&](const Entry& entry) {
    return entry.keyHash == keyHash && entry.version == version && entry.deleted;
  });
  if (found != bucket.end()) {
    toggleDigest(*found);
    bytes_ -= found->nameSize + found->payloadSize;
    bucket.erase(found);
    --size_;
  }
}

void RecordStore::recordChange(uint64_t totalBefore, const RecordKey& key) {
  changes_.push_back(Change{totalBefore, key});
  if (changes_.size() > kRetainedChanges) {
    changes_.pop_front();
  }
}

std::optional<ConfigRecord> RecordStore::find(const RecordKey& key) const {
  const Entry* entry = findEntry(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return ConfigRecord{key, entry->version, entry->deleted, std::string(entry->view().payload)};
}

uint64_t RecordStore::versionOf(const RecordKey& key) const {
  const Entry* entry = findEntry(key);
  return entry == nullptr ? 0 : entry->version;
}

std::vector<uint64_t> RecordStore::groupDigests() const {
  std::vector<uint64_t> groups(kDigestGroups, 0);
  for (uint32_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
    groups[bucket / kBucketsPerGroup] ^= digests_[bucket];
  }
  return groups;
}

std::vector<uint64_t> RecordStore::bucketDigests(uint32_t group) const {
  const auto first = digests_.begin() + static_cast<std::ptrdiff_t>(group * kBucketsPerGroup);
  return {first, first + kBucketsPerGroup};
}

std::vector<RecordVersion> RecordStore::versionsIn(uint32_t bucket) const {
  std::vector<RecordVersion> versions;
  versions.reserve(buckets_[bucket].size());
  for (const Entry& entry : buckets_[bucket]) {
    const RecordView view = entry.view();
    versions.push_back({RecordKey{view.kind, std::string(view.name)}, view.version});
  }
  return versions;
}

size_t RecordStore::bytesIn(uint32_t bucket) const {
  size_t bytes = 0;
  for (const Entry& entry : buckets_[bucket]) {
    bytes += entry.nameSize + entry.payloadSize;
  }
  return bytes;
}

std::optional<std::vector<RecordKey>> RecordStore::changesSince(uint64_t total) const {
  if (total == total_) {
    return std::vector<RecordKey>{};
  }
  const auto start = std::find_if(changes_.begin(), changes_.end(), [&](const Change& change) {
    return change.totalBefore == total;
  });
  if (start == changes_.end()) {
    return std::nullopt;
  }
  std::vector<RecordKey> keys;
  for (auto change = start; change != changes_.end(); ++change) {
    if (std::find(keys.begin(), keys.end(), change->key) == keys.end()) {
      keys.push_back(change->key);
    }
  }
  return keys;
}

}  // namespace umberhold
