/**
 * @file Strict reading of the fields of a JSON object; only for inclusion in .cc files (includes
 * POCO).
 */
#pragma once

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "common/platform/object_json.h"

namespace umberhold {

/**
 * Reads the fields of one object. All readers of a document share one error variable, which keeps
 * the first error; after an error every read returns its default.
 */
class JsonFieldReader {
 public:
  /** @param path of the object in the document, empty for the document itself. */
  JsonFieldReader(Poco::JSON::Object::Ptr object, std::string path,
                  std::optional<ObjectError>& error);

  std::string requiredText(const std::string& key);
  std::string optionalText(const std::string& key, const std::string& defaultValue);
  int64_t requiredInteger(const std::string& key, int64_t minimum, int64_t maximum);
  int64_t optionalInteger(const std::string& key, int64_t minimum, int64_t maximum,
                          int64_t defaultValue);
  /** @return the array, or null if it is absent. */
  Poco::JSON::Array::Ptr optionalArray(const std::string& key);
  /** Fails with kUnknownKey for the first key that no call has read. */
  void rejectUnknownKeys();

  void fail(ObjectErrorCode code, const std::string& key, const std::string& detail);
  /** @return the path of a key in the document. */
  std::string pathOf(const std::string& key) const;

 private:
  bool has(const std::string& key);
  std::string readText(const std::string& key);
  int64_t readInteger(const std::string& key, int64_t minimum, int64_t maximum);

  const Poco::JSON::Object::Ptr object_;
  const std::string path_;
  std::optional<ObjectError>& error_;
  std::set<std::string> readKeys_;
};

}  // namespace umberhold
