#include "common/platform/store_lister.h"

#include <algorithm>
#include <array>
#include <utility>

namespace umberhold {
namespace {

struct ListedKind {
  Collection collection;
  ObjectKind kind;
};

constexpr std::array<ListedKind, 2> kKinds = {{
    {Collection::kServices, ObjectKind::kService},
    {Collection::kPolicies, ObjectKind::kPolicy},
}};

}  // namespace

Result<ListStep, StoreError> StoreLister::step() {
  auto answer = store_.listPage(kKinds[collection_].collection, after_, pageSize_);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  ObjectPage& page = valueOf(answer);
  if (after_.empty()) {
    summary_ = ListSummary{kKinds[collection_].kind, page.version, {}};
    if (collection_ == 0) {
      watchStartVersion_ = page.version;
    }
  }
  for (const StoredObject& object : page.objects) {
    summary_.names.push_back(listedNameHash(object.name));
  }
  after_ = page.next;
  ListStep step;
  step.objects = std::move(page.objects);
  if (after_.empty()) {
    std::sort(summary_.names.begin(), summary_.names.end());
    step.complete = std::exchange(summary_, {});
    ++collection_;
  }
  return step;
}

}  // namespace umberhold
