/**
 * @file Interface to the platform's object store.
 *
 * The store is an HTTP+JSON object API: objects with a resource version, conditional update, list
 * and watch. http_platform_store.h implements the client; tests use an in-memory fake. All calls
 * block and must be made from a dedicated thread, never from decision logic.
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
/** @return whether watches report changes of the collection. */
bool isWatched(Collection collection);

/** One change of an object, stored in the object itself (newest first, at most kHistoryLength). */
struct ChangeEntry {
  /**
   * Chosen by the writer before the first attempt; shows after a lost response whether the change
   * was applied.
   */
  std::string requestId;
  /** Who requested the change; informational. */
  std::string author;
  /** "apply", "drain", "delete", ...; informational. */
  std::string summary;
  UnixSeconds at = 0;
  /**
   * Version that this change replaced (0: the change created the object); nothing if the writer
   * gave none.
   */
  std::optional<uint64_t> baseVersion{};

  bool operator==(const ChangeEntry&) const = default;
};

/** Maximum number of changes in an object's history. */
constexpr size_t kHistoryLength = 16;

/** One object of the store. */
struct StoredObject {
  Collection collection = Collection::kServices;
  std::string name;
  /**
   * Resource version of the last change; versions increase across the whole store. 0: does not
   * exist.
   */
  uint64_t version = 0;
  /** Set in watch events only. */
  bool deleted = false;
  std::vector<ChangeEntry> history;
  /** The object's specification as JSON text. */
  std::string specification;
};

/** A complete collection at one version. */
struct ObjectList {
  uint64_t version = 0;
  std::vector<StoredObject> objects;
};

/** One page of a collection, ordered by name. */
struct ObjectPage {
  /** Store version when the page was read; a watch starts at the version of the first page. */
  uint64_t version = 0;
  std::vector<StoredObject> objects;
  /** Name after which the next page starts; empty if this page is the last. */
  std::string next;
};

/** Changes after the requested version, in order; empty if the watch timed out without any. */
struct WatchBatch {
  uint64_t version = 0;
  std::vector<StoredObject> events;
};

/** One machine of the platform's machine list, which may be stale. */
struct Machine {
  uint32_t nodeId = 0;
  std::string region;
  std::string zone;
  Endpoint control;
  bool leaving = false;
};

/** Why a call to the store failed. */
enum class StoreErrorCode : uint8_t {
  /** No connection, or the store returned 503; a change was definitely not applied. */
  kUnavailable,
  /**
   * The request may have reached the store, but no response was received; a change may have been
   * applied.
   */
  kAnswerLost,
  /** The object's version is not the expected one. */
  kConflict,
  kNotFound,
  /** The watch starts before the history that the store keeps: the caller must list again. */
  kTooOld,
  /** The store's response could not be parsed. */
  kMalformedAnswer,
  /** The store rejects the request as invalid (4xx). */
  kRejected,
};

/** @return the snake_case name of a code. */
std::string_view toString(StoreErrorCode code);

/** A store failure. */
struct StoreError {
  StoreErrorCode code = StoreErrorCode::kUnavailable;
  std::string detail;
  /** Retry delay requested by the store, if any. */
  std::optional<Duration> retryAfter;
};

/** Blocking access to the store. Each implementation documents its thread safety. */
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  virtual Result<ObjectList, StoreError> list(Collection collection) = 0;
  /**
   * Reads one page of a collection, so that the complete collection never has to fit in memory.
   * @param after last name of the previous page; empty for the first page.
   * @param limit maximum number of objects on the page.
   */
  virtual Result<ObjectPage, StoreError> listPage(Collection collection, const std::string& after,
                                                  size_t limit);
  virtual Result<StoredObject, StoreError> get(Collection collection, const std::string& name) = 0;
  /**
   * Creates or replaces an object.
   * @param object its version is the expected current one; 0 requires that the object does not
   * exist.
   * @return the new version.
   */
  virtual Result<uint64_t, StoreError> put(const StoredObject& object) = 0;
  /** Deletes an object at the expected version. @return the version of the deletion. */
  virtual Result<uint64_t, StoreError> remove(const StoredObject& object) = 0;
  /** Waits up to `longPollTimeout` for changes of services, policies and pools after `since`. */
  virtual Result<WatchBatch, StoreError> watch(uint64_t since, Duration longPollTimeout) = 0;
  virtual Result<std::vector<Machine>, StoreError> machines() = 0;
};

}  // namespace umberhold
