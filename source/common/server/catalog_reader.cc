#include "common/server/catalog_reader.h"

#include <glog/logging.h>

#include <chrono>
#include <utility>

#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"
#include "common/platform/steady_now.h"

namespace umberhold {
namespace {

/** The store's client spaces its own tries; this keeps a store that answers at once from a spin. */
constexpr auto kRetryPause = std::chrono::milliseconds(100);
constexpr Duration kWatchPatience = std::chrono::seconds(30);

template <class Object>
std::vector<CatalogChange> readAs(const StoredObject& object,
                                  const Result<Object, ObjectError>& parsed) {
  if (isOk(parsed)) {
    return {valueOf(parsed)};
  }
  LOG(WARNING) << "event=object_unreadable name=" << object.name
               << " code=" << toString(errorOf(parsed).code) << " path=" << errorOf(parsed).path;
  return {};
}

}  // namespace

CatalogReader::CatalogReader(PlatformStore& store, Sink sink)
    : store_(store), sink_(std::move(sink)), thread_([this] { run(); }) {}

CatalogReader::~CatalogReader() {
  stop();
  thread_.join();
}

void CatalogReader::run() {
  bool listed = false;
  while (!stopping_) {
    listed = listed ? follow() : listAll();
    if (!listed && !stopping_) {
      std::this_thread::sleep_for(kRetryPause);
    }
  }
}

std::vector<CatalogChange> CatalogReader::read(const StoredObject& object) {
  const bool isPool = object.collection == Collection::kHostPools;
  if (!isPool && object.collection != Collection::kServices) {
    return {};
  }
  std::set<std::string>& names = isPool ? pools_ : services_;
  if (isDeleted(object)) {
    names.erase(object.name);
    return {ObjectGone{object.collection, object.name}};
  }
  names.insert(object.name);
  return isPool ? readAs(object, parseHostPool(object.name, object.specification))
                : readAs(object, parseService(object.name, object.specification));
}

bool CatalogReader::listAll() {
  CatalogChanges all;
  std::set<std::string> before[] = {services_, pools_};
  uint64_t lowest = UINT64_MAX;
  // Pools first: a service without hosts would turn flows away.
  for (const Collection collection : {Collection::kHostPools, Collection::kServices}) {
    const auto list = store_.list(collection);
    if (!isOk(list)) {
      return false;
    }
    std::set<std::string>& gone = before[collection == Collection::kServices ? 0 : 1];
    for (const StoredObject& object : valueOf(list).objects) {
      gone.erase(object.name);
      for (CatalogChange& change : read(object)) {
        all.changes.push_back(std::move(change));
      }
    }
    for (const std::string& name : gone) {
      all.changes.push_back(ObjectGone{collection, name});
    }
    lowest = std::min(lowest, valueOf(list).version);
  }
  since_ = lowest;
  all.version = since_;
  all.seenAt = steadyNow();
  sink_(std::move(all));
  return true;
}

bool CatalogReader::follow() {
  const auto batch = store_.watch(since_, kWatchPatience);
  if (!isOk(batch)) {
    return errorOf(batch).code != StoreErrorCode::kTooOld;
  }
  since_ = valueOf(batch).version;
  CatalogChanges news;
  news.version = since_;
  news.seenAt = steadyNow();
  for (const StoredObject& object : valueOf(batch).events) {
    for (CatalogChange& change : read(object)) {
      news.changes.push_back(std::move(change));
    }
  }
  if (!news.changes.empty()) {
    sink_(std::move(news));
  }
  return true;
}

}  // namespace umberhold
