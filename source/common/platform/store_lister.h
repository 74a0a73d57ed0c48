/** @file Reads services and policies page by page and keeps the current position. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/platform/list_reconciliation.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Result of one step. */
struct ListStep {
  std::vector<StoredObject> objects;
  /** Set when the list of a kind is complete. */
  std::optional<ListSummary> complete;
};

/** One pass over the configuration collections; a failed step can be repeated. */
class StoreLister {
 public:
  /** @param store borrowed. @param pageSize objects per request; bounds the memory used. */
  StoreLister(PlatformStore& store, size_t pageSize) : store_(store), pageSize_(pageSize) {}

  /** Reads the next page; must not be called once isComplete(). */
  Result<ListStep, StoreError> step();
  bool isComplete() const { return collection_ == kCollectionCount; }
  /**
   * @return the version at which a watch must start to miss no change: that of the very first page.
   */
  uint64_t watchStartVersion() const { return watchStartVersion_; }

 private:
  static constexpr size_t kCollectionCount = 2;

  PlatformStore& store_;
  const size_t pageSize_;
  size_t collection_ = 0;
  std::string after_;
  ListSummary summary_;
  uint64_t watchStartVersion_ = 0;
};

}  // namespace umberhold
