/**
 * @file Representation of deleted objects in the store.
 *
 * Removing an object from the store would also remove its change history: a client whose response
 * was lost could no longer determine whether its change was applied, and a delayed create would
 * bring the object back. A deletion is therefore a conditional update that replaces the
 * specification by a marker. The object stays, with its history and an increasing version. Readers
 * treat a marked object as deleted.
 */
#pragma once

#include "common/platform/platform_store.h"

namespace umberhold {

/** Specification of a deleted object. */
constexpr const char* kDeletionMarker = "{\"deleted\":true}";

/** @return whether the object is deleted, from the point of view of operators and nodes. */
inline bool isDeleted(const StoredObject& object) {
  return object.deleted || object.specification == kDeletionMarker;
}

}  // namespace umberhold
