/**
 * @file Reads files of objects to apply, in JSON or TOML.
 *
 * JSON: one object, or an array of objects, each with "kind" ("service" or "policy"), "name",
 * optionally "version" (the version on which the change is based), and the keys of its
 * specification (docs/PLATFORM_API.md). TOML: tables [[service]] and [[policy]] with the same keys
 * except "kind".
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/result.h"
#include "common/config/record.h"

namespace umberhold {

/** One object in a file. */
struct Document {
  ObjectKind kind = ObjectKind::kService;
  std::string name;
  /** Version on which the change is based, if the document contains it. */
  std::optional<uint64_t> version;
  /** Specification as JSON text; syntax and keys are checked here, the rest by the server. */
  std::string specification;
};

/** Kinds of errors in a file. */
enum class DocumentErrorCode : uint8_t {
  kUnreadableFile,
  kUnknownFormat,
  kSyntax,
  kUnknownKind,
  kMissingName,
  kDuplicate,
  /** The version is not an integer of at least 0. */
  kVersion,
  /** The specification is invalid at the key. */
  kSpecification,
};

/** @return the snake_case label of a code. */
std::string_view toString(DocumentErrorCode code);

/** An error and its location. */
struct DocumentError {
  DocumentErrorCode code = DocumentErrorCode::kSyntax;
  std::string file;
  /** Line number from 1; 0 if the format's parser does not report it. */
  uint32_t line = 0;
  /** Such as "service[1].hosts[0].weight"; empty for the file as a whole. */
  std::string key;
  std::string detail;
};

/** @return "file:line: key: detail (code)". */
std::string toString(const DocumentError& error);

/** @return the documents; policies come first, because services refer to them. */
Result<std::vector<Document>, DocumentError> parseDocuments(const std::string& file,
                                                            const std::string& text);
/** Reads a file; its format follows from the file extension, ".json" or ".toml". */
Result<std::vector<Document>, DocumentError> loadDocuments(const std::string& file);

}  // namespace umberhold
