/** @file A node's configuration records: the newest version of each object. */
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "common/config/record.h"
#include "common/messages/spread_messages.h"

namespace umberhold {

/** The digest has buckets that are arranged in groups, so that each list of digests fits into one
 * datagram. */
constexpr uint32_t kDigestGroups = 32;
constexpr uint32_t kBucketsPerGroup = 32;
constexpr uint32_t kDigestBuckets = kDigestGroups * kBucketsPerGroup;

/** Notified of every record that became the newest of its object. */
class RecordObserver {
 public:
  virtual ~RecordObserver() = default;
  virtual void onRecordApplied(const ConfigRecord& record) = 0;
};

/** A view of a record, without a copy of its bytes; valid until the next change of the store. */
struct RecordView {
  ObjectKind kind = ObjectKind::kService;
  std::string_view name;
  uint64_t version = 0;
  bool deleted = false;
  std::string_view payload;
};

/**
 * Records by key; the version of an object never decreases.
 *
 * Deletions are kept as tombstones. All nodes retain the same kMaxTombstones newest ones (by
 * version). An object with an older deletion could reappear only from a node that was partitioned
 * while all of these deletions happened and that kept running.
 */
class RecordStore {
 public:
  static constexpr size_t kMaxTombstones = 8192;

  void addObserver(RecordObserver* observer) { observers_.push_back(observer); }

  /** Applies a record if it is newer than the known one. @return whether it was applied; if so, the
   * observers were called. */
  bool apply(const ConfigRecord& record);

  std::optional<ConfigRecord> find(const RecordKey& key) const;
  /** @return the version of the object's record, 0 if there is none. */
  uint64_t versionOf(const RecordKey& key) const;
  /** Visits every record, tombstones included. */
  template <class Visitor>
  void forEach(Visitor&& visitor) const {
    for (const auto& bucket : buckets_) {
      for (const Entry& entry : bucket) {
        visitor(entry.view());
      }
    }
  }

  /** @return the number of records, tombstones included. */
  size_t size() const { return size_; }
  /** @return the total size of the names and payloads of all records, bytes. */
  size_t bytes() const { return bytes_; }
  size_t tombstones() const { return tombstones_.size(); }
  /** @return the highest store version of a record. Region contacts are excluded, because they have
   * a separate version sequence. */
  uint64_t highestVersion() const { return highestVersion_; }

  /** @return a digest of all records, which is equal for stores with the same records. */
  uint64_t total() const { return total_; }
  /** @return one digest per group. */
  std::vector<uint64_t> groupDigests() const;
  /** @return one digest per bucket of the group. */
  std::vector<uint64_t> bucketDigests(uint32_t group) const;
  /** @return the keys and versions of the records in one bucket. */
  std::vector<RecordVersion> versionsIn(uint32_t bucket) const;
  /** @return the total size of the names and payloads in one bucket, bytes. */
  size_t bytesIn(uint32_t bucket) const;
  /** @return the keys of the records applied since the store had the given total, oldest first;
   * std::nullopt if that is too long ago, or the store never had it. */
  std::optional<std::vector<RecordKey>> changesSince(uint64_t total) const;

 private:
  /** Name and payload share one allocation to save memory: there are tens of thousands of entries.
   */
  struct Entry {
    uint64_t keyHash = 0;
    uint64_t version = 0;
    std::unique_ptr<char[]> bytes;
    uint32_t payloadSize = 0;
    uint16_t nameSize = 0;
    ObjectKind kind = ObjectKind::kService;
    bool deleted = false;

    RecordView view() const;
  };
  using Bucket = std::vector<Entry>;
  /** Version and key hash, an order that is the same on all nodes. */
  using TombstoneOrder = std::pair<uint64_t, uint64_t>;
  struct Change {
    uint64_t totalBefore = 0;
    RecordKey key;
  };

  const Entry* findEntry(const RecordKey& key) const;
  bool isTooOldTombstone(const ConfigRecord& record, uint64_t keyHash) const;
  void replace(Entry* known, const ConfigRecord& record, uint64_t keyHash);
  void toggleDigest(const Entry& entry);
  void trimTombstones();
  void removeEntry(uint64_t keyHash, uint64_t version);
  void recordChange(uint64_t totalBefore, const RecordKey& key);

  std::array<Bucket, kDigestBuckets> buckets_;
  std::array<uint64_t, kDigestBuckets> digests_{};
  std::set<TombstoneOrder> tombstones_;
  std::deque<Change> changes_;
  std::vector<RecordObserver*> observers_;
  uint64_t total_ = 0;
  uint64_t highestVersion_ = 0;
  size_t size_ = 0;
  size_t bytes_ = 0;
};

/** @return the bucket of an object, which is the same on all nodes. */
uint32_t digestBucketOf(const RecordKey& key);

}  // namespace umberhold
