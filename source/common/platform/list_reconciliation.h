/**
 * @file Detects deletions by comparing the objects that a node holds with a complete list of the
 * store.
 *
 * A reader whose watch position was too old has missed events. Objects in the new list replace
 * older records. An object that is no longer listed needs a tombstone, and the tombstone's version
 * must come from the store.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "common/config/record.h"

namespace umberhold {

/** Summary of a complete list of one kind. */
struct ListSummary {
  ObjectKind kind = ObjectKind::kService;
  /** Store version when the first page was read. */
  uint64_t version = 0;
  /** listedNameHash() of every listed name; sorted. */
  std::vector<uint64_t> names;
};

/** @return the hash by which a summary stores a name. */
uint64_t listedNameHash(std::string_view name);
/** @return whether the list contains the name. */
bool isListed(const ListSummary& summary, std::string_view name);

/**
 * @return the tombstone of an object that a node holds at `heldVersion` and that the list lacks;
 * nothing if the object changed after the list began, in which case the watch reports its state.
 */
std::optional<ConfigRecord> tombstoneFor(const ListSummary& summary, std::string_view name,
                                         uint64_t heldVersion);

}  // namespace umberhold
