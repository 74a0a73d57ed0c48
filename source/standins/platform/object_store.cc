#include "standins/platform/object_store.h"

#include <algorithm>

namespace umberhold::standins {

ObjectStore::ObjectStore(size_t historyLimit) : historyLimit_(historyLimit) {}

ObjectPage ObjectStore::list(Collection collection, const std::string& after, size_t limit) const {
  const std::lock_guard lock(mutex_);
  ObjectPage page;
  page.version = version_;
  auto entry = after.empty() ? objects_.lower_bound(Key{collection, ""})
                             : objects_.upper_bound(Key{collection, after});
  for (; entry != objects_.end() && entry->first.first == collection; ++entry) {
    if (page.objects.size() == limit) {
      page.next = page.objects.back().name;
      break;
    }
    page.objects.push_back(entry->second);
  }
  return page;
}

std::optional<StoredObject> ObjectStore::get(Collection collection, const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto entry = objects_.find(Key{collection, name});
  if (entry == objects_.end()) {
    return std::nullopt;
  }
  return entry->second;
}

ObjectStore::ChangeAnswer ObjectStore::put(Collection collection, const std::string& name,
                                           const PutBody& body) {
  const std::lock_guard lock(mutex_);
  const Key key{collection, name};
  const uint64_t current = currentVersion(key);
  if (current != body.expectedVersion) {
    return VersionConflict{current};
  }
  StoredObject& object = objects_[key];
  object.collection = collection;
  object.name = name;
  object.version = ++version_;
  object.history = body.history;
  object.specification = body.specification;
  record(object);
  return object.version;
}

ObjectStore::ChangeAnswer ObjectStore::remove(Collection collection, const std::string& name,
                                              uint64_t expectedVersion) {
  const std::lock_guard lock(mutex_);
  const auto entry = objects_.find(Key{collection, name});
  const uint64_t current = entry == objects_.end() ? 0 : entry->second.version;
  if (current == 0 || current != expectedVersion) {
    return VersionConflict{current};
  }
  StoredObject event = std::move(entry->second);
  objects_.erase(entry);
  event.version = ++version_;
  event.deleted = true;
  record(event);
  return event.version;
}

ObjectStore::WatchAnswer ObjectStore::watch(uint64_t since, Duration wait) {
  std::unique_lock lock(mutex_);
  const uint64_t previousInterruptions = interruptions_;
  changed_.wait_for(lock, wait, [&] {
    return since < truncatedVersion_ || hasEventAfter(since) ||
           interruptions_ != previousInterruptions;
  });
  if (since < truncatedVersion_) {
    return HistoryTruncated{truncatedVersion_};
  }
  WatchBatch batch;
  batch.version = std::max(since, version_);
  for (const StoredObject& event : history_) {
    if (event.version > since) {
      batch.events.push_back(event);
    }
  }
  return batch;
}

void ObjectStore::interruptWatches() {
  const std::lock_guard lock(mutex_);
  ++interruptions_;
  changed_.notify_all();
}

void ObjectStore::setHistoryLimit(size_t limit) {
  const std::lock_guard lock(mutex_);
  historyLimit_ = limit;
  trimHistory();
}

uint64_t ObjectStore::currentVersion(const Key& key) const {
  const auto entry = objects_.find(key);
  return entry == objects_.end() ? 0 : entry->second.version;
}

void ObjectStore::record(const StoredObject& event) {
  if (!isWatched(event.collection)) {
    return;
  }
  history_.push_back(event);
  trimHistory();
  changed_.notify_all();
}

void ObjectStore::trimHistory() {
  while (history_.size() > historyLimit_) {
    truncatedVersion_ = history_.front().version;
    history_.pop_front();
  }
}

bool ObjectStore::hasEventAfter(uint64_t since) const {
  return !history_.empty() && history_.back().version > since;
}

}  // namespace umberhold::standins
