/** @file The catalogue as the product's own objects in the platform's store hold it. */
#pragma once

#include "common/platform/catalog_source.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Objects that can't be read are logged and passed over. As thread safe as its store. */
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
