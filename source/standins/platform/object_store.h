/** @file The stand-in store's objects: versions, conditional updates, watch with a bounded history.
 */
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "common/platform/platform_store.h"
#include "common/platform/store_json.h"

namespace umberhold::standins {

/** Version mismatch of a conditional change; version 0 means that the object does not exist. */
struct VersionConflict {
  uint64_t currentVersion = 0;
};

/** The watch starts before the oldest event in the history. */
struct HistoryTruncated {
  /** Earliest version from which a watch can start. */
  uint64_t oldestVersion = 0;
};

/** Objects in memory. Thread safe. */
class ObjectStore {
 public:
  using ChangeAnswer = std::variant<uint64_t, VersionConflict>;
  using WatchAnswer = std::variant<WatchBatch, HistoryTruncated>;

  /** @param historyLimit maximum number of past events that a watch can replay. */
  explicit ObjectStore(size_t historyLimit);

  /** @return at most `limit` objects of a collection by name, starting after the name `after`. */
  ObjectPage list(Collection collection, const std::string& after, size_t limit) const;
  std::optional<StoredObject> get(Collection collection, const std::string& name) const;
  /** Writes if the current version is the expected one (0: does not exist). */
  ChangeAnswer put(Collection collection, const std::string& name, const PutBody& body);
  /** Removes the object if its current version is the expected one. */
  ChangeAnswer remove(Collection collection, const std::string& name, uint64_t expectedVersion);
  /** Returns events of services and policies after `since`; blocks for at most `wait`. */
  WatchAnswer watch(uint64_t since, Duration wait);
  /** Makes all blocked watches return immediately, as on timeout. */
  void interruptWatches();
  void setHistoryLimit(size_t limit);

 private:
  using Key = std::pair<Collection, std::string>;

  uint64_t currentVersion(const Key& key) const;
  void record(const StoredObject& event);
  void trimHistory();
  bool hasEventAfter(uint64_t since) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, StoredObject> objects_;
  std::deque<StoredObject> history_;
  size_t historyLimit_;
  uint64_t version_ = 0;
  /** Version of the newest event that was removed from the history. */
  uint64_t truncatedVersion_ = 0;
  /** Number of calls of interruptWatches(). */
  uint64_t interruptions_ = 0;
};

}  // namespace umberhold::standins
