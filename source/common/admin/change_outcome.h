/** @file A change of the configuration that an operator asks for, and what became of it. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "common/base/time.h"
#include "common/platform/endpoint_claim.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Replaces one object, creates it or deletes it. */
struct ChangeRequest {
  Collection collection = Collection::kServices;
  std::string name;
  /** Version that the operator based the change on; 0 demands that the object does not exist. */
  uint64_t expectedVersion = 0;
  /** The new specification as JSON text; kDeletionMarker deletes. */
  std::string specification;
  /** Chosen by the operator's tool; a repeat of a change carries the same one, another change
   * never. */
  std::string requestId;
  /** Who asks, for people. */
  std::string author;
  /** "apply", "delete", "drain dispatch-3", for people. */
  std::string summary;
};

/** The change is in the store, once. */
struct ChangeAccepted {
  /** Version at which the change is definitely in; the object's current one where others followed.
   */
  uint64_t version = 0;
  bool operator==(const ChangeAccepted&) const = default;
};

/** The object is not at the expected version; the change is not in and never will be. */
struct ChangeConflict {
  /** 0: the object does not exist. */
  uint64_t currentVersion = 0;
  /** The newest change of the object, where it has one. */
  std::optional<ChangeEntry> lastChange;
};

/** Another service has an address or a host of the change; the change is not in and never will be.
 */
struct ChangeBlocked {
  ClaimKey key;
  /** The service that has it. */
  std::string holder;
};

/** Why the store or the coordinator refused a change as such; the change is not in. */
enum class ChangeRefusal : uint8_t {
  /** The store answered that the request itself is wrong. */
  kStoreRefused,
  /** Another change already carries this request id. */
  kRequestIdReused,
  /** The request id is empty or too long. */
  kBadRequestId,
};

/** The change is not in and would not be on a repeat. */
struct ChangeRefused {
  ChangeRefusal reason = ChangeRefusal::kStoreRefused;
  std::string detail;
};

/** The store can't be reached; nothing of this call was or will be run. */
struct ChangeUnavailable {
  /** When a repeat may help. */
  Duration retryAfter{};
  std::string detail;
};

/** An answer was lost and could not be resolved in time: the change may be in, or come in late. */
struct ChangeUnknown {
  /** Ask for it later, or repeat the same change with this id. */
  std::string requestId;
  Duration retryAfter{};
  std::string detail;
};

/** What the operator's call returns. */
using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict, ChangeBlocked, ChangeRefused,
                                   ChangeUnavailable, ChangeUnknown>;

/** A change that was found in an object's history. */
struct FoundChange {
  Collection collection = Collection::kServices;
  std::string name;
  /** Current version of the object; the change is in at this version or before. */
  uint64_t objectVersion = 0;
  ChangeEntry entry;
};

/** Longest request id, characters. */
constexpr size_t kMaxRequestIdLength = 64;

}  // namespace umberhold
