/**
 * @file The platform's object store, as the project uses it.
 *
 * The store is an HTTP+JSON object API: objects with a resource version, conditional update, list
 * and watch. http_platform_store.h speaks it; tests use an in-memory fake. All calls block and are
 * made from a thread of their own, never from decision logic.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/base/time.h"

namespace umberhold {

/** Collections of the store. */
enum class Collection : uint8_t { kServices, kPolicies, kLeases, kHostPools, kClaims };

/** @return the collection's name in URLs: "services", "policies", "leases", "host_pools", "claims".
 */
std::string toString(Collection collection);
/** @return whether watches tell of its changes. */
bool isWatched(Collection collection);

/** One change of an object, kept in the object itself (newest first, at most kHistoryLength). */
struct ChangeEntry {
  /** Chosen by the writer before the first try; tells after a lost answer whether the change is in.
   */
  std::string requestId;
  /** Who asked for it, for people. */
  std::string author;
  /** "apply", "drain", "delete", ... for people. */
  std::string summary;
  UnixSeconds at = 0;
  /** Version that this change replaced (0: it created the object); nothing where the writer gave
   * none. */
  std::optional<uint64_t> baseVersion{};

  bool operator==(const ChangeEntry&) const = default;
};

/** Changes that an object remembers. */
constexpr size_t kHistoryLength = 16;

/** One object of the store. */
struct StoredObject {
  Collection collection = Collection::kServices;
  std::string name;
  /** Resource version of the last change; it grows over the whole store. 0: does not exist. */
  uint64_t version = 0;
  /** Set in watch events only. */
  bool deleted = false;
  std::vector<ChangeEntry> history;
  /** The object's specification as JSON text. */
  std::string specification;
};

/** A whole collection at one version. */
struct ObjectList {
  uint64_t version = 0;
  std::vector<StoredObject> objects;
};

/** A part of a collection, ordered by name. */
struct ObjectPage {
  /** The store's version when the page was read; a watch starts from the first page's. */
  uint64_t version = 0;
  std::vector<StoredObject> objects;
  /** Name to go on after; empty where this page is the last. */
  std::string next;
};

/** Changes after the version that was asked for, in order; empty when the wait ended without any.
 */
struct WatchBatch {
  uint64_t version = 0;
  std::vector<StoredObject> events;
};

/** One machine of the platform's (lagging) list. */
struct Machine {
  uint32_t nodeId = 0;
  std::string region;
  std::string zone;
  Endpoint control;
  bool leaving = false;
};

/** Why a call to the store failed. */
enum class StoreErrorCode : uint8_t {
  /** No connection, or the store said 503; a change definitely did not happen. */
  kUnavailable,
  /** The request may have reached the store but no answer came; a change may have happened. */
  kAnswerLost,
  /** The object's version is not the expected one. */
  kConflict,
  kNotFound,
  /** The watch starts before the history that the store keeps: list again. */
  kTooOld,
  /** The store's answer could not be understood. */
  kMalformedAnswer,
  /** The store refuses the request as such (4xx). */
  kRejected,
};

/** @return the snake_case name of a code. */
std::string_view toString(StoreErrorCode code);

/** A store failure. */
struct StoreError {
  StoreErrorCode code = StoreErrorCode::kUnavailable;
  std::string detail;
  /** When the store said how long to wait. */
  std::optional<Duration> retryAfter;
};

/** Blocking access to the store. Implementations say whether they are thread safe. */
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  virtual Result<ObjectList, StoreError> list(Collection collection) = 0;
  /**
   * Reads a collection in bounded parts, so that the whole never has to fit in memory.
   * @param after name that ended the previous page; empty for the first.
   * @param limit highest number of objects in the page.
   */
  virtual Result<ObjectPage, StoreError> listPage(Collection collection, const std::string& after,
                                                  size_t limit);
  virtual Result<StoredObject, StoreError> get(Collection collection, const std::string& name) = 0;
  /**
   * Creates or replaces an object.
   * @param object its version is the expected current one; 0 demands that it does not exist.
   * @return the new version.
   */
  virtual Result<uint64_t, StoreError> put(const StoredObject& object) = 0;
  /** Deletes an object at the expected version; @return the version of the deletion. */
  virtual Result<uint64_t, StoreError> remove(const StoredObject& object) = 0;
  /** Waits up to `patience` for changes of services, policies and pools after `since`. */
  virtual Result<WatchBatch, StoreError> watch(uint64_t since, Duration longPollTimeout) = 0;
  virtual Result<std::vector<Machine>, StoreError> machines() = 0;
};

}  // namespace umberhold
