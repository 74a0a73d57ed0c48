#include "common/admin/request_routes.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>

#include "common/admin/api_json.h"
#include "common/platform/deletion_marker.h"

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr uint64_t kDefaultLimit = 50;
constexpr uint64_t kMaxLimit = 500;

/** The object named in a query. */
struct NamedObject {
  ApiKind kind;
  std::string name;
};

std::optional<NamedObject> namedObjectIn(const AdminRequest& request) {
  const auto kind = parseApiKind(std::string(request.findQuery("kind").value_or("")));
  const auto name = request.findQuery("name");
  if (!kind || !name) {
    return std::nullopt;
  }
  return NamedObject{*kind, std::string(*name)};
}

const char* kindLabel(Collection collection) {
  return collection == Collection::kPolicies ? kPolicyKind.singular : kServiceKind.singular;
}

/** One change of one object. */
struct Change {
  Collection collection = Collection::kServices;
  std::string name;
  uint64_t objectVersion = 0;
  bool objectDeleted = false;
  ChangeEntry entry;
};

void appendChanges(const StoredObject& object, std::vector<Change>& changes) {
  for (const ChangeEntry& entry : object.history) {
    changes.push_back({object.collection, object.name, object.version, isDeleted(object), entry});
  }
}

Result<std::vector<Change>, StoreError> readChanges(ApiContext& context,
                                                    const std::optional<NamedObject>& named) {
  std::vector<Change> changes;
  if (named) {
    const auto object = context.store.get(named->kind.collection, named->name);
    if (!isOk(object)) {
      return errorOf(object);
    }
    appendChanges(valueOf(object), changes);
    return changes;
  }
  for (const Collection collection : {Collection::kServices, Collection::kPolicies}) {
    const auto all = context.store.list(collection);
    if (!isOk(all)) {
      return errorOf(all);
    }
    for (const StoredObject& object : valueOf(all).objects) {
      appendChanges(object, changes);
    }
  }
  return changes;
}

void sortNewestFirst(std::vector<Change>& changes) {
  std::stable_sort(changes.begin(), changes.end(), [](const Change& left, const Change& right) {
    return left.entry.at > right.entry.at;
  });
}

Object::Ptr toJson(const Change& change) {
  Object::Ptr object = new Object;
  setChange(*object, change.entry);
  object->set("kind", kindLabel(change.collection));
  object->set("name", change.name);
  object->set("object_version", static_cast<Poco::UInt64>(change.objectVersion));
  object->set("object_deleted", change.objectDeleted);
  return object;
}

AdminResponse foundAnswer(const FoundChange& found) {
  Object object;
  setChange(object, found.entry);
  object.set("outcome", "accepted");
  object.set("kind", kindLabel(found.collection));
  object.set("name", found.name);
  object.set("version", static_cast<Poco::UInt64>(found.objectVersion));
  return jsonAnswer(toText(object));
}

}  // namespace

AdminResponse getRequest(ApiContext& context, const std::string& requestId,
                         const AdminRequest& request) {
  const auto named = namedObjectIn(request);
  const auto found = named ? context.changes.find(named->kind.collection, named->name, requestId)
                           : context.changes.findAnywhere(requestId);
  if (isOk(found)) {
    return foundAnswer(valueOf(found));
  }
  if (errorOf(found) == LookupFailure::kNotInHistory) {
    return errorAnswer(ApiErrorCode::kNotFound,
                       "no history holds this request id: the change is not in so far, or 16 and "
                       "more changes of the object followed it");
  }
  return toResponse(StoreError{StoreErrorCode::kUnavailable, "no answer", std::nullopt});
}

AdminResponse getHistory(ApiContext& context, const AdminRequest& request) {
  const auto text = request.findQuery("limit");
  const auto limit = text ? parseNumber(*text) : kDefaultLimit;
  if (!limit || *limit == 0 || *limit > kMaxLimit) {
    return errorAnswer(ApiErrorCode::kBadRequest, "limit must be 1 to 500");
  }
  auto read = readChanges(context, namedObjectIn(request));
  if (!isOk(read)) {
    return toResponse(errorOf(read));
  }
  std::vector<Change>& changes = valueOf(read);
  sortNewestFirst(changes);
  changes.resize(std::min<size_t>(changes.size(), *limit));
  Array::Ptr array = new Array;
  for (const Change& change : changes) {
    array->add(toJson(change));
  }
  Object object;
  object.set("changes", array);
  return jsonAnswer(toText(object));
}

}  // namespace umberhold
