/**
 * @file Where a node gets its services and host pools from: the whole at first, changes afterwards.
 *
 * stored_catalog.h reads them from the product's own objects; an adapter to another store may
 * translate them without a detour over their text.
 */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/base/result.h"
#include "common/base/time.h"
#include "common/config/evacuated_zones.h"
#include "common/config/service.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** An object was deleted. */
struct DeletedObject {
  Collection collection = Collection::kServices;
  std::string name;

  bool operator==(const DeletedObject&) const = default;
};

/** One change of the catalogue. Evacuated zones come as a whole. */
using CatalogChange = std::variant<Service, HostPool, DeletedObject, EvacuatedZones>;

/** Changes that take effect together. */
struct CatalogChanges {
  /** Version of the catalogue with them. */
  uint64_t version = 0;
  /** When the reader got them. */
  TimePoint receivedAt{};
  std::vector<CatalogChange> changes;
};

/** Blocking access. Implementations say whether they are thread safe. */
class CatalogSource {
 public:
  virtual ~CatalogSource() = default;

  /** @return the evacuated zones if some ever were, every pool, then every service: a service
   * without hosts would turn flows away. */
  virtual Result<CatalogChanges, StoreError> list() = 0;
  /**
   * Waits up to `patience` for changes after the version.
   * @return them in order; kTooOld where they are no longer known: list again.
   */
  virtual Result<CatalogChanges, StoreError> watch(uint64_t since, Duration longPollTimeout) = 0;
};

}  // namespace umberhold
