/** @file Every configuration record that a node holds: the newest version of each object. */
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

/** Buckets of the digest, in groups, so that each list of digests fits into one datagram. */
constexpr uint32_t kDigestGroups = 32;
constexpr uint32_t kBucketsPerGroup = 32;
constexpr uint32_t kDigestBuckets = kDigestGroups * kBucketsPerGroup;

/** Is notified of every record that became the newest of its object. */
class RecordObserver {
 public:
  virtual ~RecordObserver() = default;
  virtual void onRecordApplied(const ConfigRecord& record) = 0;
};

/** A record without a copy of its bytes; valid until the next change of the store. */
struct RecordView {
  ObjectKind kind = ObjectKind::kService;
  std::string_view name;
  uint64_t version = 0;
  bool deleted = false;
  std::string_view payload;
};

/**
 * Records by key; never goes back to an older version.
 *
 * Deletions stay as tombstones. The newest kMaxTombstones of them (by version) are kept, the same
 * ones on every node; an object deleted longer ago than that could come back from a node that was
 * cut off while all of these deletions happened and that kept running.
 */
class RecordStore {
 public:
  static constexpr size_t kMaxTombstones = 8192;

  void addObserver(RecordObserver* observer) { observers_.push_back(observer); }

  /** Takes a record; @return whether it was newer than what was known, and the observers were
   * called.
   */
  bool apply(const ConfigRecord& record);

  std::optional<ConfigRecord> find(const RecordKey& key) const;
  /** @return the version held of that object, 0 for none. */
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
  /** @return names and payloads of all records, bytes. */
  size_t bytes() const { return bytes_; }
  size_t tombstones() const { return tombstones_.size(); }
  /** @return the highest store version held; region contacts don't count: they have versions of
   * their own. */
  uint64_t highestVersion() const { return highestVersion_; }

  /** @return a digest of all records: equal where two stores hold the same. */
  uint64_t total() const { return total_; }
  /** @return one digest per group. */
  std::vector<uint64_t> groupDigests() const;
  /** @return one digest per bucket of the group. */
  std::vector<uint64_t> bucketDigests(uint32_t group) const;
  /** @return keys and versions in one bucket. */
  std::vector<RecordVersion> versionsIn(uint32_t bucket) const;
  /** @return names and payloads in one bucket, bytes. */
  size_t bytesIn(uint32_t bucket) const;
  /** @return keys of the records applied since the store's total was this, oldest first; nothing
   * where that is too long ago. */
  std::optional<std::vector<RecordKey>> changesSince(uint64_t total) const;

 private:
  /** Name and payload lie in one allocation: there are tens of thousands of entries. */
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
  /** Version and key hash: an order that is the same on every node. */
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
  void rememberChange(uint64_t totalBefore, const RecordKey& key);

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

/** @return the bucket that an object belongs to, on every node. */
uint32_t digestBucketOf(const RecordKey& key);

}  // namespace umberhold
