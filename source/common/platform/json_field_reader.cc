#include "common/platform/json_field_reader.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

namespace umberhold {

JsonFieldReader::JsonFieldReader(Poco::JSON::Object::Ptr object, std::string path,
                                 std::optional<ObjectError>& error)
    : object_(std::move(object)), path_(std::move(path)), error_(error) {}

std::string JsonFieldReader::requiredText(const std::string& key) {
  if (!has(key)) {
    fail(ObjectErrorCode::kMissingKey, key, "is missing");
    return {};
  }
  return readText(key);
}

std::string JsonFieldReader::optionalText(const std::string& key, const std::string& otherwise) {
  return has(key) ? readText(key) : otherwise;
}

int64_t JsonFieldReader::requiredInteger(const std::string& key, int64_t lowest, int64_t highest) {
  if (!has(key)) {
    fail(ObjectErrorCode::kMissingKey, key, "is missing");
    return lowest;
  }
  return readInteger(key, lowest, highest);
}

int64_t JsonFieldReader::optionalInteger(const std::string& key, int64_t lowest, int64_t highest,
                                         int64_t otherwise) {
  return has(key) ? readInteger(key, lowest, highest) : otherwise;
}

Poco::JSON::Array::Ptr JsonFieldReader::optionalArray(const std::string& key) {
  if (!has(key)) {
    return {};
  }
  Poco::JSON::Array::Ptr array = object_->getArray(key);
  if (array.isNull()) {
    fail(ObjectErrorCode::kWrongType, key, "must be an array");
  }
  return array;
}

void JsonFieldReader::rejectUnknownKeys() {
  for (const std::string& key : object_->getNames()) {
    if (asked_.count(key) == 0) {
      fail(ObjectErrorCode::kUnknownKey, key, "is not known");
    }
  }
}

void JsonFieldReader::fail(ObjectErrorCode code, const std::string& key,
                           const std::string& detail) {
  if (!error_) {
    error_ = ObjectError{code, pathOf(key), detail};
  }
}

std::string JsonFieldReader::pathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

bool JsonFieldReader::has(const std::string& key) {
  asked_.insert(key);
  return object_->has(key);
}

std::string JsonFieldReader::readText(const std::string& key) {
  const auto value = object_->get(key);
  if (!value.isString()) {
    fail(ObjectErrorCode::kWrongType, key, "must be a string");
    return {};
  }
  return value.extract<std::string>();
}

int64_t JsonFieldReader::readInteger(const std::string& key, int64_t lowest, int64_t highest) {
  const auto value = object_->get(key);
  // POCO counts booleans among the integers.
  if (value.isBoolean() || !value.isInteger()) {
    fail(ObjectErrorCode::kWrongType, key, "must be an integer");
    return lowest;
  }
  int64_t number = lowest;
  bool fits = true;
  try {
    number = value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    fits = false;
  }
  if (!fits || number < lowest || number > highest) {
    fail(ObjectErrorCode::kOutOfRange, key,
         "must lie in " + std::to_string(lowest) + " to " + std::to_string(highest));
    return lowest;
  }
  return number;
}

}  // namespace umberhold
