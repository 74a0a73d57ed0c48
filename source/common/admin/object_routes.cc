#include "common/admin/object_routes.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <functional>
#include <sstream>

#include "common/admin/api_json.h"
#include "common/admin/node_configuration.h"
#include "common/admin/object_checks.h"
#include "common/admin/specification_diff.h"
#include "common/base/hash.h"
#include "common/platform/deletion_marker.h"
#include "common/platform/object_json.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

AdminResponse unreadableAnswer(const ConfigurationUnreadable& unreadable) {
  return toResponse(NodeStatusError{NodeStatusErrorCode::kBusy,
                                    "the configuration can't be read: " + unreadable.detail});
}

AdminResponse changesAnswer(const ApiKind& kind, const std::string& name,
                            const std::optional<StoredObject>& current,
                            const std::string& specification) {
  Array::Ptr changes = new Array;
  const std::string before = current ? current->specification : "";
  for (const FieldChange& change : diffSpecifications(before, specification)) {
    Object::Ptr object = new Object;
    object->set("field", change.field);
    object->set("before",
                change.before ? Poco::Dynamic::Var(*change.before) : Poco::Dynamic::Var());
    object->set("after", change.after ? Poco::Dynamic::Var(*change.after) : Poco::Dynamic::Var());
    changes->add(object);
  }
  Object answer;
  answer.set("outcome", "dry_run");
  answer.set("kind", kind.singular);
  answer.set("name", name);
  answer.set("current_version", static_cast<Poco::UInt64>(current ? current->version : 0));
  answer.set("changes", changes);
  return jsonAnswer(toText(answer));
}

/** The summary contains a digest, so that a request id reused for another change is detected. */
std::string summaryOf(const std::string& verb, const std::string& specification) {
  std::ostringstream summary;
  summary << verb << " [" << std::hex << hashBytes(specification) << "]";
  return summary.str();
}

ChangeRequest changeOf(const ApiKind& kind, const std::string& name, const AdminRequest& request,
                       uint64_t expectedVersion) {
  ChangeRequest change;
  change.collection = kind.collection;
  change.name = name;
  change.expectedVersion = expectedVersion;
  change.requestId = requestIdOf(request);
  change.author = authorOf(request);
  return change;
}

AdminResponse versionRequired() {
  return errorAnswer(ApiErrorCode::kVersionRequired,
                     "If-Match must give the version that the change is based on; 0 creates");
}

/** @return the current object, nothing if it does not exist or is deleted, or the error. */
Result<std::optional<StoredObject>, AdminResponse> readCurrent(ApiContext& context,
                                                               const ApiKind& kind,
                                                               const std::string& name) {
  auto current = context.changes.read(kind.collection, name);
  if (isOk(current)) {
    return std::optional<StoredObject>(std::move(valueOf(current)));
  }
  if (errorOf(current).code == StoreErrorCode::kNotFound) {
    return std::optional<StoredObject>{};
  }
  return toResponse(errorOf(current));
}

using Check = std::function<ValidationResult(const std::optional<StoredObject>&)>;

/** @return the error response of a failed check, or nothing. */
std::optional<AdminResponse> refusalOf(const ValidationResult& checked) {
  if (!isOk(checked)) {
    return unreadableAnswer(errorOf(checked));
  }
  if (!valueOf(checked).empty()) {
    return toResponse(valueOf(checked));
  }
  return std::nullopt;
}

AdminResponse dryRunAnswer(ApiContext& context, const ApiKind& kind, const std::string& name,
                           const Proposal& proposal, const Check& check) {
  const auto current = readCurrent(context, kind, name);
  if (!isOk(current)) {
    return errorOf(current);
  }
  if (const auto refusal = refusalOf(check(valueOf(current)))) {
    return *refusal;
  }
  return changesAnswer(kind, name, valueOf(current), proposal.specification);
}

/** Checks the change against the current object. @return nothing if it may be submitted. */
std::optional<AdminResponse> precheck(ApiContext& context, const ChangeRequest& change,
                                      const Check& check) {
  const ApiKind kind = change.collection == Collection::kServices ? kServiceKind : kPolicyKind;
  const auto current = readCurrent(context, kind, change.name);
  if (!isOk(current)) {
    return errorOf(current);
  }
  const StoredObject state = valueOf(current).value_or(StoredObject{});
  if (state.version != change.expectedVersion) {
    return toResponse(conflictWith(state), change);
  }
  return refusalOf(check(valueOf(current)));
}

/**
 * Checks and runs a change. A retry must not be rejected because of what its first run already
 * changed, nor be reported as not run if the first run may have been applied.
 */
AdminResponse runChange(ApiContext& context, const ChangeRequest& change,
                        const AdminRequest& request, const Check& check) {
  const bool repeated = isSet(request, "repeated");
  const bool isInHistory =
      !request.requestId.empty() &&
      isOk(context.changes.find(change.collection, change.name, change.requestId));
  if (!isInHistory) {
    const auto refusal = precheck(context, change, check);
    if (refusal && !repeated) {
      return *refusal;
    }
    if (refusal) {
      return toResponse(context.changes.resolve(change), change);
    }
  }
  return toResponse(context.changes.submit(change, repeated), change);
}

Object::Ptr parseToObject(const std::string& text) {
  try {
    return Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
  } catch (const Poco::Exception&) {
    return new Object;
  }
}

AdminResponse objectAnswer(const ApiKind& kind, const StoredObject& object, const char* source) {
  Object answer;
  answer.set("kind", kind.singular);
  answer.set("name", object.name);
  answer.set("version", static_cast<Poco::UInt64>(object.version));
  answer.set("source", source);
  answer.set("specification", parseToObject(object.specification));
  Array::Ptr history = new Array;
  addHistory(*history, object.history);
  answer.set("history", history);
  return jsonAnswer(toText(answer));
}

/** @return the specification in a record's payload; empty if it can't be decoded. */
std::string specificationOf(const ConfigRecord& record) {
  if (record.key.kind == ObjectKind::kService) {
    const auto service = decodeService(record.payload);
    return isOk(service) ? formatService(valueOf(service)) : "";
  }
  const auto policy = decodePolicy(record.payload);
  return isOk(policy) ? formatPolicy(valueOf(policy)) : "";
}

AdminResponse getFromNode(ApiContext& context, const ApiKind& kind, const std::string& name) {
  const auto record = context.node.record({kind.kind, name});
  if (!isOk(record)) {
    return toResponse(errorOf(record));
  }
  StoredObject object;
  object.collection = kind.collection;
  object.name = name;
  object.version = valueOf(record).version;
  object.specification = specificationOf(valueOf(record));
  return objectAnswer(kind, object, "node");
}

}  // namespace

AdminResponse listObjects(ApiContext& context, const ApiKind& kind) {
  std::vector<RecordVersion> found;
  const auto visited = forEachRecord(context.node, [&](const ConfigRecord& record) {
    if (record.key.kind == kind.kind && !record.deleted) {
      found.push_back({record.key, record.version});
    }
  });
  if (!isOk(visited)) {
    return toResponse(errorOf(visited));
  }
  std::sort(found.begin(), found.end(), [](const RecordVersion& left, const RecordVersion& right) {
    return left.key.name < right.key.name;
  });
  Array::Ptr objects = new Array;
  for (const RecordVersion& record : found) {
    Object::Ptr object = new Object;
    object->set("name", record.key.name);
    object->set("version", static_cast<Poco::UInt64>(record.version));
    objects->add(object);
  }
  Object answer;
  answer.set("kind", kind.singular);
  answer.set("source", "node");
  answer.set("objects", objects);
  return jsonAnswer(toText(answer));
}

AdminResponse getObject(ApiContext& context, const ApiKind& kind, const std::string& name) {
  const auto object = context.changes.read(kind.collection, name);
  if (isOk(object)) {
    return objectAnswer(kind, valueOf(object), "store");
  }
  if (errorOf(object).code == StoreErrorCode::kNotFound) {
    return toResponse(errorOf(object));
  }
  return getFromNode(context, kind, name);
}

AdminResponse putObject(ApiContext& context, const ApiKind& kind, const std::string& name,
                        const AdminRequest& request) {
  const auto expected = expectedVersionOf(request);
  if (!isOk(expected)) {
    return toResponse(errorOf(expected));
  }
  const bool dryRun = isSet(request, "dry_run");
  if (!valueOf(expected) && !dryRun) {
    return versionRequired();
  }
  auto parsed = parseProposal(kind, name, request.body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const Proposal& proposal = valueOf(parsed);
  const auto check = [&](const std::optional<StoredObject>& current) {
    return validate(context, proposal, current, request);
  };
  if (dryRun) {
    return dryRunAnswer(context, kind, name, proposal, check);
  }
  ChangeRequest change = changeOf(kind, name, request, *valueOf(expected));
  change.specification = proposal.specification;
  change.summary = summaryOf("apply", proposal.specification);
  return runChange(context, change, request, check);
}

AdminResponse deleteObject(ApiContext& context, const ApiKind& kind, const std::string& name,
                           const AdminRequest& request) {
  const auto expected = expectedVersionOf(request);
  if (!isOk(expected)) {
    return toResponse(errorOf(expected));
  }
  if (!valueOf(expected) || *valueOf(expected) == 0) {
    return versionRequired();
  }
  ChangeRequest change = changeOf(kind, name, request, *valueOf(expected));
  change.specification = kDeletionMarker;
  change.summary = "delete";
  return runChange(context, change, request, [&](const std::optional<StoredObject>& current) {
    return current ? validateDeletion(context, kind, *current, request) : ValidationErrors{};
  });
}

}  // namespace umberhold
