/**
 * @file An in-memory platform store with faults: rejected calls, lost requests, lost answers and
 * delayed requests.
 */
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/platform/platform_store.h"

namespace umberhold {

/** Fault of one call to the store. */
enum class StoreFault : uint8_t {
  kNone,
  /** 503: the change was not applied. */
  kUnavailable,
  /** The request is lost; the client receives no answer. */
  kRequestLost,
  /** The change is applied; the client receives no answer. */
  kAnswerLost,
  /** The client receives no answer; the change is applied by deliverDelayed(). */
  kDelayed,
};

/** Not thread safe. */
class FakePlatformStore : public PlatformStore {
 public:
  using Key = std::pair<Collection, std::string>;

  /** Faults of the next changes, one each; no fault once the queue is empty. */
  std::deque<StoreFault> changeFaults;
  /** Faults of the next reads; any fault but kNone fails the read. */
  std::deque<StoreFault> readFaults;
  /** Runs once, at the start of the next call; lets a test interleave another client. */
  std::function<void()> beforeCall;
  uint32_t calls = 0;

  Result<ObjectList, StoreError> list(Collection collection) override {
    startCall();
    ObjectList all;
    all.version = version_;
    for (const auto& [key, object] : objects_) {
      if (key.first == collection) {
        all.objects.push_back(object);
      }
    }
    return all;
  }

  Result<StoredObject, StoreError> get(Collection collection, const std::string& name) override {
    startCall();
    if (nextFault(readFaults) != StoreFault::kNone) {
      return failure(StoreErrorCode::kUnavailable);
    }
    const auto found = objects_.find({collection, name});
    if (found == objects_.end()) {
      return failure(StoreErrorCode::kNotFound);
    }
    return found->second;
  }

  Result<uint64_t, StoreError> put(const StoredObject& object) override {
    startCall();
    return change([this, object] { return apply(object); });
  }

  Result<uint64_t, StoreError> remove(const StoredObject& object) override {
    startCall();
    return change([this, object] { return applyRemoval(object); });
  }

  Result<WatchBatch, StoreError> watch(uint64_t since, Duration /*longPollTimeout*/) override {
    startCall();
    WatchBatch batch;
    batch.version = version_;
    for (const StoredObject& event : events_) {
      if (event.version > since) {
        batch.events.push_back(event);
      }
    }
    return batch;
  }

  Result<std::vector<Machine>, StoreError> machines() override { return std::vector<Machine>{}; }

  /** Delivers the delayed requests. @return the number of applied changes. */
  size_t deliverDelayed() {
    const std::vector<Change> delayedChanges = std::exchange(delayed_, {});
    return static_cast<size_t>(std::count_if(delayedChanges.begin(), delayedChanges.end(),
                                             [](const Change& change) { return isOk(change()); }));
  }

  /** All states of all objects in order; without leases and claims, as in watches. */
  const std::vector<StoredObject>& events() const { return events_; }

 private:
  using Change = std::function<Result<uint64_t, StoreError>()>;

  /** Runs a change subject to the next fault. */
  Result<uint64_t, StoreError> change(const Change& change) {
    switch (nextFault(changeFaults)) {
      case StoreFault::kNone:
        return change();
      case StoreFault::kUnavailable:
        return failure(StoreErrorCode::kUnavailable);
      case StoreFault::kRequestLost:
        break;
      case StoreFault::kAnswerLost:
        change();
        break;
      case StoreFault::kDelayed:
        delayed_.push_back(change);
        break;
    }
    return failure(StoreErrorCode::kAnswerLost);
  }

  Result<uint64_t, StoreError> applyRemoval(const StoredObject& object) {
    const auto found = objects_.find({object.collection, object.name});
    if (found == objects_.end()) {
      return failure(StoreErrorCode::kNotFound);
    }
    if (found->second.version != object.version) {
      return failure(StoreErrorCode::kConflict);
    }
    objects_.erase(found);
    return ++version_;
  }

  static StoreError failure(StoreErrorCode code) { return StoreError{code, "fake", std::nullopt}; }

  static StoreFault nextFault(std::deque<StoreFault>& faults) {
    if (faults.empty()) {
      return StoreFault::kNone;
    }
    const StoreFault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  void startCall() {
    ++calls;
    if (beforeCall) {
      // Cleared before it runs, because the interleaved client calls this store too.
      const std::function<void()> interleaved = std::exchange(beforeCall, nullptr);
      interleaved();
    }
  }

  Result<uint64_t, StoreError> apply(const StoredObject& object) {
    const Key key{object.collection, object.name};
    const auto found = objects_.find(key);
    const uint64_t current = found == objects_.end() ? 0 : found->second.version;
    if (current != object.version) {
      return failure(StoreErrorCode::kConflict);
    }
    StoredObject stored = object;
    stored.version = ++version_;
    objects_[key] = stored;
    if (isWatched(object.collection)) {
      events_.push_back(stored);
    }
    return stored.version;
  }

  uint64_t version_ = 0;
  std::map<Key, StoredObject> objects_;
  std::vector<Change> delayed_;
  std::vector<StoredObject> events_;
};

}  // namespace umberhold
