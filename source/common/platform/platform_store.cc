#include "common/platform/platform_store.h"

#include <algorithm>

namespace umberhold {

std::string toString(Collection collection) {
  switch (collection) {
    case Collection::kServices:
      return "services";
    case Collection::kPolicies:
      return "policies";
    case Collection::kLeases:
      return "leases";
    case Collection::kClaims:
      return "claims";
    case Collection::kHostPools:
      return "host_pools";
  }
  return "unknown";
}

std::string_view toString(StoreErrorCode code) {
  switch (code) {
    case StoreErrorCode::kUnavailable:
      return "unavailable";
    case StoreErrorCode::kAnswerLost:
      return "answer_lost";
    case StoreErrorCode::kConflict:
      return "conflict";
    case StoreErrorCode::kNotFound:
      return "not_found";
    case StoreErrorCode::kTooOld:
      return "too_old";
    case StoreErrorCode::kMalformedAnswer:
      return "malformed_answer";
    case StoreErrorCode::kRejected:
      return "rejected";
  }
  return "unknown";
}

bool isWatched(Collection collection) {
  return collection != Collection::kLeases && collection != Collection::kClaims;
}

Result<ObjectPage, StoreError> PlatformStore::listPage(Collection collection,
                                                       const std::string& after, size_t limit) {
  auto fullList = list(collection);
  if (!isOk(fullList)) {
    return errorOf(fullList);
  }
  ObjectList& all = valueOf(fullList);
  std::sort(
      all.objects.begin(), all.objects.end(),
      [](const StoredObject& left, const StoredObject& right) { return left.name < right.name; });
  ObjectPage page;
  page.version = all.version;
  for (StoredObject& object : all.objects) {
    if (object.name <= after && !after.empty()) {
      continue;
    }
    if (page.objects.size() == limit) {
      page.next = page.objects.back().name;
      break;
    }
    page.objects.push_back(std::move(object));
  }
  return page;
}

}  // namespace umberhold
