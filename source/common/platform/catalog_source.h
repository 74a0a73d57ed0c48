/**
 * @file Interface to the source of a node's services and host pools: one full list, then changes.
 *
 * stored_catalog.h implements it for the product's own objects. An adapter to another store can
 * produce the catalog types directly, without converting through their JSON text.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/base/result.h"
#include "common/base/time.h"
#include "common/config/evacuated_zones.h"
#include "common/config/service.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** An object that was deleted. */
struct DeletedObject {
  Collection collection = Collection::kServices;
  std::string name;

  bool operator==(const DeletedObject&) const = default;
};

/** One change of the catalog. Evacuated zones are always given as the full set. */
using CatalogChange = std::variant<Service, HostPool, DeletedObject, EvacuatedZones>;

/** Changes that are applied together. */
struct CatalogChanges {
  /** Catalog version after these changes. */
  uint64_t version = 0;
  /** When the reader received the changes. */
  TimePoint receivedAt{};
  std::vector<CatalogChange> changes;
};

/** How recent a source's catalog is. */
struct CatalogFreshness {
  /** All changes up to this time are part of the catalog. */
  TimePoint knownAsOf{};
  /** Catalog version that includes them. */
  uint64_t version = 0;
};

/** Blocking access to the catalog. Each implementation documents its thread safety. */
class CatalogSource {
 public:
  virtual ~CatalogSource() = default;

  /**
   * @return the evacuated zones if there have ever been any, then every pool, then every service.
   * Pools come first because a service without hosts would reject flows.
   */
  virtual Result<CatalogChanges, StoreError> list() = 0;
  /**
   * Waits up to `longPollTimeout` for changes after version `since`.
   * @return the changes in order; kTooOld if they are no longer available and the caller must list
   * again.
   */
  virtual Result<CatalogChanges, StoreError> watch(uint64_t since, Duration longPollTimeout) = 0;
  /**
   * Does not block.
   * @return nothing if the source cannot tell.
   */
  virtual std::optional<CatalogFreshness> freshness() const { return std::nullopt; }
};

}  // namespace umberhold
