#include "common/platform/stored_object_record.h"

#include "common/platform/deletion_marker.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

Result<std::string, RecordError> toPayload(Result<std::string, EncodeError> encoded) {
  if (!isOk(encoded)) {
    return RecordError{errorOf(encoded)};
  }
  return std::move(valueOf(encoded));
}

Result<std::string, RecordError> payloadOf(const StoredObject& object) {
  if (object.collection == Collection::kServices) {
    const auto service = parseService(object.name, object.specification);
    return isOk(service) ? toPayload(encodeService(valueOf(service)))
                         : Result<std::string, RecordError>(RecordError{errorOf(service)});
  }
  const auto policy = parsePolicy(object.name, object.specification);
  return isOk(policy) ? toPayload(encodePolicy(valueOf(policy)))
                      : Result<std::string, RecordError>(RecordError{errorOf(policy)});
}

}  // namespace

Result<ConfigRecord, RecordError> toConfigRecord(const StoredObject& object) {
  // Nodes with the strategy "token" read pools themselves; pools are not disseminated.
  if (object.collection != Collection::kServices && object.collection != Collection::kPolicies) {
    return RecordError{NotConfiguration{}};
  }
  ConfigRecord record;
  record.key.kind =
      object.collection == Collection::kServices ? ObjectKind::kService : ObjectKind::kPolicy;
  record.key.name = object.name;
  record.version = object.version;
  record.deleted = isDeleted(object);
  if (record.deleted) {
    return record;
  }
  auto payload = payloadOf(object);
  if (!isOk(payload)) {
    return errorOf(payload);
  }
  record.payload = std::move(valueOf(payload));
  return record;
}

}  // namespace umberhold
