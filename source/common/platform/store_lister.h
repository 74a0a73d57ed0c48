/** @file Reads services and policies page by page, remembering how far it came. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/platform/list_reconciliation.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** What one step brought. */
struct ListStep {
  std::vector<StoredObject> objects;
  /** Set when a kind is complete. */
  std::optional<ListSummary> complete;
};

/** One pass over the collections of configuration; a failed step can be repeated. */
class StoreLister {
 public:
  /** @param store borrowed. @param pageSize objects read at once; they bound the memory used. */
  StoreLister(PlatformStore& store, size_t pageSize) : store_(store), pageSize_(pageSize) {}

  /** Reads the next page; not to be called once isComplete(). */
  Result<ListStep, StoreError> step();
  bool isComplete() const { return collection_ == kCollectionCount; }
  /** @return where a watch must start to miss nothing: the version of the very first page. */
  uint64_t watchStartVersion() const { return watchFrom_; }

 private:
  static constexpr size_t kCollectionCount = 2;

  PlatformStore& store_;
  const size_t pageSize_;
  size_t collection_ = 0;
  std::string after_;
  ListSummary summary_;
  uint64_t watchFrom_ = 0;
};

}  // namespace umberhold
