/** @file Converts store objects to records for configuration dissemination. */
#pragma once

#include <variant>

#include "common/base/result.h"
#include "common/config/record.h"
#include "common/platform/object_json.h"
#include "common/platform/platform_store.h"
#include "common/wire/codec_error.h"

namespace umberhold {

/** The object's collection does not hold configuration. */
struct NotConfiguration {};

/** Why an object cannot be converted. */
using RecordError = std::variant<ObjectError, EncodeError, NotConfiguration>;

/** @return the record of an object at its version; a tombstone if the object is deleted. */
Result<ConfigRecord, RecordError> toConfigRecord(const StoredObject& object);

}  // namespace umberhold
