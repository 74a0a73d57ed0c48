/** @file Tests of the reader thread with a scripted store, and of PollLoop. */
#include "common/server/catalog_reader.h"

#include <unistd.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/platform/object_json.h"
#include "common/platform/steady_now.h"
#include "common/platform/stored_catalog.h"
#include "common/server/poll_loop.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;
using std::chrono::milliseconds;

namespace {

StoredObject serviceObject(const std::string& name, uint64_t version) {
  Service service;
  service.name = name;
  service.region = "addis";
  service.address = 1;
  service.port = 1;
  StoredObject object;
  object.name = name;
  object.version = version;
  object.specification = formatService(service);
  return object;
}

StoredObject poolObject(const std::string& name, uint64_t version) {
  StoredObject object;
  object.collection = Collection::kHostPools;
  object.name = name;
  object.version = version;
  object.specification = formatHostPool({name, {}});
  return object;
}

/** Lists its objects; watches return the scripted answers and block while there are none. */
class ScriptedStore : public PlatformStore {
 public:
  std::vector<StoredObject> objects;

  Result<ObjectList, StoreError> list(Collection collection) override {
    const std::lock_guard lock(mutex_);
    ObjectList all;
    all.version = 1;
    for (const StoredObject& object : objects) {
      if (object.collection == collection) {
        all.objects.push_back(object);
      }
    }
    return all;
  }
  Result<WatchBatch, StoreError> watch(uint64_t since, Duration /*timeout*/) override {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopped_ || !answers_.empty(); });
    if (answers_.empty()) {
      return WatchBatch{since, {}};
    }
    auto answer = std::move(answers_.front());
    answers_.pop_front();
    return answer;
  }
  Result<StoredObject, StoreError> get(Collection, const std::string&) override {
    return StoreError{};
  }
  Result<uint64_t, StoreError> put(const StoredObject&) override { return StoreError{}; }
  Result<uint64_t, StoreError> remove(const StoredObject&) override { return StoreError{}; }
  Result<std::vector<Machine>, StoreError> machines() override { return StoreError{}; }

  /** @param listed objects that list() returns from now on; nullopt keeps the current ones. */
  void answer(Result<WatchBatch, StoreError> answer,
              std::optional<std::vector<StoredObject>> listed = std::nullopt) {
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
    objects = std::move(listed).value_or(objects);
    changed_.notify_all();
  }
  void stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Result<WatchBatch, StoreError>> answers_;
  bool stopped_ = false;
};

/** @return "+name" for each object and "-name" for each deleted one, in order. */
std::string describe(const CatalogChanges& update) {
  std::string text;
  for (const CatalogChange& change : update.changes) {
    if (const auto* gone = std::get_if<DeletedObject>(&change)) {
      text += "-" + gone->name;
    } else if (const auto* pool = std::get_if<HostPool>(&change)) {
      text += "+" + pool->name;
    } else {
      text += "+" + std::get<Service>(change).name;
    }
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(CatalogReader, test::WithoutLeakDetection) {
  ScriptedStore store;
  StoredCatalog catalog{store};
  std::mutex mutex;
  std::condition_variable arrived;
  std::deque<CatalogChanges> batches;

  std::unique_ptr<CatalogReader> read() {
    return std::make_unique<CatalogReader>(catalog, [this](CatalogChanges update) {
      const std::lock_guard lock(mutex);
      batches.push_back(std::move(update));
      arrived.notify_all();
    });
  }
  std::string next() {
    std::unique_lock lock(mutex);
    arrived.wait_for(lock, std::chrono::seconds(20), [this] { return !batches.empty(); });
    if (batches.empty()) {
      return "nothing";
    }
    const std::string text = describe(batches.front());
    batches.pop_front();
    return text;
  }
};

TEST(CatalogReader, DeliversFullCatalogPoolsFirstThenChanges) {
  store.objects = {serviceObject("pickup", 1), poolObject("dispatch", 1)};
  const auto reader = read();
  STRCMP_EQUAL("+dispatch+pickup", next().c_str());
  StoredObject gone = serviceObject("pickup", 3);
  gone.deleted = true;
  StoredObject unreadable = serviceObject("seat", 3);
  unreadable.specification = "{";
  store.answer(WatchBatch{3, {serviceObject("seat", 2), gone, unreadable}});
  STRCMP_EQUAL("+seat-pickup", next().c_str());
  store.stop();
}

TEST(CatalogReader, ReportsDeletionsWhenTheHistoryIsLost) {
  store.objects = {serviceObject("pickup", 1), serviceObject("seat", 1), poolObject("old", 1)};
  const auto reader = read();
  next();
  store.answer(StoreError{StoreErrorCode::kTooOld, "", std::nullopt},
               std::vector<StoredObject>{serviceObject("seat", 4), poolObject("new", 4)});
  STRCMP_EQUAL("+new-old+seat-pickup", next().c_str());
  store.stop();
}

TEST(CatalogReader, ContinuesWatchingAfterAFailure) {
  const auto reader = read();
  next();
  store.answer(StoreError{StoreErrorCode::kUnavailable, "", std::nullopt});
  store.answer(WatchBatch{3, {serviceObject("seat", 2)}});
  STRCMP_EQUAL("+seat", next().c_str());
  store.stop();
}

TEST_GROUP(PollLoop) {
  PollLoop loop;
  std::string order;
};

TEST(PollLoop, RunsDueTimersInOrderAndServesDescriptorsUntilUnwatched) {
  std::array<int, 2> ends{};
  CHECK_EQUAL(0, ::pipe(ends.data()));
  CHECK_EQUAL(1, ::write(ends[1], "x", 1));
  const TimePoint now = steadyNow();
  loop.watch(ends[0], [&] {
    order += "r";
    loop.unwatch(ends[0]);
    loop.at(now + milliseconds(2), [&] {
      order += "c";
      loop.stop();
    });
    loop.at(now + milliseconds(1), [&] { order += "b"; });
  });
  loop.at(now, [&] { order += "a"; });
  loop.run();
  STRCMP_EQUAL("arbc", order.c_str());
  ::close(ends[0]);
  ::close(ends[1]);
}
