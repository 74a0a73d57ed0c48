/** @file Catalog source that reads the product's own objects in the platform's store. */
#pragma once

#include "common/platform/catalog_source.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Objects that cannot be parsed are logged and skipped. As thread safe as its store. */
class StoredCatalog : public CatalogSource {
 public:
  /** @param store borrowed. */
  explicit StoredCatalog(PlatformStore& store) : store_(store) {}

  Result<CatalogChanges, StoreError> list() override;
  Result<CatalogChanges, StoreError> watch(uint64_t since, Duration longPollTimeout) override;

 private:
  PlatformStore& store_;
};

}  // namespace umberhold
