/**
 * @file Finds deletions by comparing what a node holds with a whole list of the store.
 *
 * A reader whose watch was too old has missed events. What it lists again replaces older records;
 * what is no longer listed needs a tombstone, and the tombstone's version must come from the store.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "common/config/record.h"

namespace umberhold {

/** What a whole list of one kind contained. */
struct ListSummary {
  ObjectKind kind = ObjectKind::kService;
  /** The store's version when the first page was read. */
  uint64_t version = 0;
  /** keyHashOf every listed name; sorted. */
  std::vector<uint64_t> names;
};

/** @return the hash under which a summary holds a name. */
uint64_t listedNameHash(std::string_view name);
/** @return whether the list contained the name. */
bool isListed(const ListSummary& summary, std::string_view name);

/**
 * @return the tombstone of an object that a node holds at `heldVersion`, where the list lacks it;
 * none where the object changed after the list began, which is the watch's concern.
 */
std::optional<ConfigRecord> tombstoneFor(const ListSummary& summary, std::string_view name,
                                         uint64_t heldVersion);

}  // namespace umberhold
