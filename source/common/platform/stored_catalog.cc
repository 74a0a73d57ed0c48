#include "common/platform/stored_catalog.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"

namespace umberhold {
namespace {

template <class Object>
void addParsed(const StoredObject& object, Result<Object, ObjectError> parsed,
               std::vector<CatalogChange>& changes) {
  if (isOk(parsed)) {
    changes.push_back(std::move(valueOf(parsed)));
    return;
  }
  LOG(WARNING) << "event=object_unreadable name=" << object.name
               << " code=" << toString(errorOf(parsed).code) << " path=" << errorOf(parsed).path;
}

void add(const StoredObject& object, std::vector<CatalogChange>& changes) {
  const bool isPool = object.collection == Collection::kHostPools;
  if (!isPool && object.collection != Collection::kServices) {
    return;
  }
  if (isDeleted(object)) {
    changes.push_back(DeletedObject{object.collection, object.name});
  } else if (isPool) {
    addParsed(object, parseHostPool(object.name, object.specification), changes);
  } else {
    addParsed(object, parseService(object.name, object.specification), changes);
  }
}

}  // namespace

Result<CatalogChanges, StoreError> StoredCatalog::list() {
  CatalogChanges all;
  all.version = UINT64_MAX;
  for (const Collection collection : {Collection::kHostPools, Collection::kServices}) {
    const auto list = store_.list(collection);
    if (!isOk(list)) {
      return errorOf(list);
    }
    for (const StoredObject& object : valueOf(list).objects) {
      add(object, all.changes);
    }
    all.version = std::min(all.version, valueOf(list).version);
  }
  return all;
}

Result<CatalogChanges, StoreError> StoredCatalog::watch(uint64_t since, Duration longPollTimeout) {
  const auto batch = store_.watch(since, longPollTimeout);
  if (!isOk(batch)) {
    return errorOf(batch);
  }
  CatalogChanges update;
  update.version = valueOf(batch).version;
  for (const StoredObject& object : valueOf(batch).events) {
    add(object, update.changes);
  }
  return update;
}

}  // namespace umberhold
