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

std::string JsonFieldReader::optionalText(const std::string& key, const std::string& defaultValue) {
  return has(key) ? readText(key) : defaultValue;
}

int64_t JsonFieldReader::requiredInteger(const std::string& key, int64_t minimum, int64_t maximum) {
  if (!has(key)) {
    fail(ObjectErrorCode::kMissingKey, key, "is missing");
    return minimum;
  }
  return readInteger(key, minimum, maximum);
}

int64_t JsonFieldReader::optionalInteger(const std::string& key, int64_t minimum, int64_t maximum,
                                         int64_t defaultValue) {
  return has(key) ? readInteger(key, minimum, maximum) : defaultValue;
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
    if (readKeys_.count(key) == 0) {
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
  readKeys_.insert(key);
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

int64_t JsonFieldReader::readInteger(const std::string& key, int64_t minimum, int64_t maximum) {
  const auto value = object_->get(key);
  // POCO classifies booleans as integers.
  if (value.isBoolean() || !value.isInteger()) {
    fail(ObjectErrorCode::kWrongType, key, "must be an integer");
    return minimum;
  }
  int64_t number = minimum;
  bool fits = true;
  try {
    number = value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    fits = false;
  }
  if (!fits || number < minimum || number > maximum) {
    fail(ObjectErrorCode::kOutOfRange, key,
         "must lie in " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
  }
  return number;
}

}  // namespace umberhold
