/** @file Reads the two file formats into a common representation. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/base/result.h"
#include "common/ctl/document.h"

namespace umberhold {

/** One object in a file, not validated. */
struct RawDocument {
  std::string kind;
  std::string name;
  std::optional<uint64_t> version;
  /** Whether a version is present, but is not an integer of at least 0. */
  bool versionIsInvalid = false;
  /** The remaining keys, as JSON text. */
  std::string specification;
  /** Path in the file, such as "service[1]". */
  std::string path;
  /** @return the line of a key in the object, or of the object. Empty if lines are unknown. */
  std::function<uint32_t(const std::string& key)> lineOf;
};

Result<std::vector<RawDocument>, DocumentError> readJsonDocuments(const std::string& file,
                                                                  const std::string& text);
Result<std::vector<RawDocument>, DocumentError> readTomlDocuments(const std::string& file,
                                                                  const std::string& text);

}  // namespace umberhold
