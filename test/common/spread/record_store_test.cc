/** @file Tests of the record store. */
#include "common/spread/record_store.h"

#include <string>

// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

using namespace umberhold;

namespace {

ConfigRecord recordOf(const std::string& name, uint64_t version, std::string payload = "payload") {
  return ConfigRecord{{ObjectKind::kService, name}, version, false, std::move(payload)};
}

ConfigRecord tombstoneOf(const std::string& name, uint64_t version) {
  return ConfigRecord{{ObjectKind::kService, name}, version, true, ""};
}

struct CountingObserver : RecordObserver {
  void onRecordApplied(const ConfigRecord& /*record*/) override { ++count; }
  int count = 0;
};

}  // namespace

TEST_GROUP(RecordStore) {
  RecordStore store;
};

TEST(RecordStore, KeepsTheNewestVersionOnly) {
  CHECK_TRUE(store.apply(recordOf("a", 5, "new")));
  CHECK_FALSE(store.apply(recordOf("a", 4, "old")));
  CHECK_FALSE(store.apply(recordOf("a", 5, "new")));
  CHECK_TRUE(store.find(recordOf("a", 0).key)->payload == "new");
  CHECK_EQUAL(1, store.size());
}

TEST(RecordStore, DeletionIsNotUndoneByAnOlderVersion) {
  store.apply(recordOf("a", 5));
  CHECK_TRUE(store.apply(tombstoneOf("a", 6)));
  CHECK_FALSE(store.apply(recordOf("a", 5)));
  CHECK_TRUE(store.find(recordOf("a", 0).key)->deleted);
  CHECK_TRUE(store.apply(recordOf("a", 7)));
  CHECK_EQUAL(0, store.tombstones());
}

TEST(RecordStore, ConflictingContentsOfOneVersionConverge) {
  RecordStore other;
  store.apply(recordOf("a", 5, "left"));
  store.apply(recordOf("a", 5, "right"));
  other.apply(recordOf("a", 5, "right"));
  other.apply(recordOf("a", 5, "left"));
  CHECK_EQUAL(store.total(), other.total());
  CHECK_TRUE(store.find(recordOf("a", 0).key) == other.find(recordOf("a", 0).key));
}

TEST(RecordStore, DigestsDependOnContentAndNotOnOrder) {
  RecordStore other;
  for (uint64_t index = 1; index <= 100; ++index) {
    store.apply(recordOf("s" + std::to_string(index), index));
    other.apply(recordOf("s" + std::to_string(101 - index), 101 - index));
  }
  CHECK_TRUE(store.groupDigests() == other.groupDigests());
  other.apply(recordOf("s7", 200));
  const uint32_t bucket = digestBucketOf(recordOf("s7", 0).key);
  for (uint32_t group = 0; group < kDigestGroups; ++group) {
    const bool differs = store.bucketDigests(group) != other.bucketDigests(group);
    CHECK_EQUAL(bucket / kBucketsPerGroup == group, differs);
  }
}

TEST(RecordStore, ReturnsChangesSinceARecentTotal) {
  store.apply(recordOf("a", 1));
  const uint64_t before = store.total();
  store.apply(recordOf("b", 2));
  store.apply(recordOf("b", 3));
  const auto changes = store.changesSince(before);
  CHECK_TRUE(changes.has_value());
  CHECK_EQUAL(1, changes->size());
  CHECK_TRUE(changes->front().name == "b");
  CHECK_FALSE(store.changesSince(12345).has_value());
}

TEST(RecordStore, NotifiesObserversOfNewRecordsOnly) {
  CountingObserver observer;
  store.addObserver(&observer);
  store.apply(recordOf("a", 2));
  store.apply(recordOf("a", 2));
  store.apply(recordOf("a", 1));
  CHECK_EQUAL(1, observer.count);
}

TEST(RecordStore, HighestVersionExcludesRegionContacts) {
  store.apply(ConfigRecord{{ObjectKind::kRegionContacts, "hobart"}, 900, false, "x"});
  store.apply(recordOf("a", 5));
  CHECK_EQUAL(5, store.highestVersion());
}

TEST(RecordStore, KeepsTheSameNewestTombstonesInAnyOrder) {
  RecordStore other;
  constexpr uint64_t kCount = RecordStore::kMaxTombstones + 50;
  for (uint64_t index = 1; index <= kCount; ++index) {
    store.apply(tombstoneOf("t" + std::to_string(index), index));
    other.apply(tombstoneOf("t" + std::to_string(kCount + 1 - index), kCount + 1 - index));
  }
  CHECK_EQUAL(RecordStore::kMaxTombstones, store.tombstones());
  CHECK_EQUAL(store.total(), other.total());
  CHECK_FALSE(store.apply(tombstoneOf("t1", 1)));
}
