#include "common/platform/list_reconciliation.h"

#include <algorithm>

#include "common/base/hash.h"

namespace umberhold {

uint64_t listedNameHash(std::string_view name) {
  return hashBytes(name);
}

bool isListed(const ListSummary& summary, std::string_view name) {
  return std::binary_search(summary.names.begin(), summary.names.end(), listedNameHash(name));
}

std::optional<ConfigRecord> tombstoneFor(const ListSummary& summary, std::string_view name,
                                         uint64_t heldVersion) {
  if (heldVersion >= summary.version || isListed(summary, name)) {
    return std::nullopt;
  }
  ConfigRecord tombstone;
  tombstone.key = {summary.kind, std::string(name)};
  tombstone.version = summary.version;
  tombstone.deleted = true;
  return tombstone;
}

}  // namespace umberhold
