/** @file Strict reading of one JSON object's fields; for .cc files only (includes POCO). */
#pragma once

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "common/platform/object_json.h"

namespace umberhold {

/**
 * Takes fields out of one object. The first error is kept where all readers of a document share it;
 * after an error every reading returns its default.
 */
class JsonFieldReader {
 public:
  /** @param path of the object in the document, empty for the whole. */
  JsonFieldReader(Poco::JSON::Object::Ptr object, std::string path,
                  std::optional<ObjectError>& error);

  std::string requiredText(const std::string& key);
  std::string optionalText(const std::string& key, const std::string& otherwise);
  int64_t requiredInteger(const std::string& key, int64_t lowest, int64_t highest);
  int64_t optionalInteger(const std::string& key, int64_t lowest, int64_t highest,
                          int64_t otherwise);
  /** @return the array, or null where it is absent. */
  Poco::JSON::Array::Ptr optionalArray(const std::string& key);
  /** Reports the first key that nothing asked for. */
  void rejectUnknownKeys();

  void fail(ObjectErrorCode code, const std::string& key, const std::string& detail);
  /** @return the path of a key. */
  std::string pathOf(const std::string& key) const;

 private:
  bool has(const std::string& key);
  std::string readText(const std::string& key);
  int64_t readInteger(const std::string& key, int64_t lowest, int64_t highest);

  const Poco::JSON::Object::Ptr object_;
  const std::string path_;
  std::optional<ObjectError>& error_;
  std::set<std::string> asked_;
};

}  // namespace umberhold
