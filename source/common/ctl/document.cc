#include "common/ctl/document.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "common/ctl/document_formats.h"
#include "common/platform/object_json.h"

namespace umberhold {
namespace {

bool endsWith(const std::string& text, const std::string& ending) {
  return text.size() >= ending.size() &&
         text.compare(text.size() - ending.size(), ending.size(), ending) == 0;
}

/** Converts the objects of a file and reports errors with their location. */
class DocumentReader {
 public:
  explicit DocumentReader(std::string file) : file_(std::move(file)) {}

  Result<Document, DocumentError> read(const RawDocument& raw) {
    Document document;
    if (raw.kind == "service") {
      document.kind = ObjectKind::kService;
    } else if (raw.kind == "policy") {
      document.kind = ObjectKind::kPolicy;
    } else {
      return error(raw, DocumentErrorCode::kUnknownKind, "kind", "must be service or policy");
    }
    if (raw.name.empty()) {
      return error(raw, DocumentErrorCode::kMissingName, "name", "every object needs a name");
    }
    if (!seen_.emplace(raw.kind, raw.name).second) {
      return error(raw, DocumentErrorCode::kDuplicate, "name", "'" + raw.name + "' stands twice");
    }
    if (raw.versionIsInvalid) {
      return error(raw, DocumentErrorCode::kVersion, "version", "must be a whole number from 0");
    }
    document.name = raw.name;
    document.version = raw.version;
    document.specification = raw.specification;
    if (const auto invalid = specificationError(document)) {
      return error(raw, DocumentErrorCode::kSpecification, invalid->path,
                   invalid->detail + " (" + std::string(toString(invalid->code)) + ")");
    }
    return document;
  }

 private:
  static std::optional<ObjectError> specificationError(const Document& document) {
    if (document.kind == ObjectKind::kService) {
      const auto service = parseService(document.name, document.specification);
      return isOk(service) ? std::nullopt : std::optional<ObjectError>(errorOf(service));
    }
    const auto policy = parsePolicy(document.name, document.specification);
    return isOk(policy) ? std::nullopt : std::optional<ObjectError>(errorOf(policy));
  }

  DocumentError error(const RawDocument& raw, DocumentErrorCode code, const std::string& key,
                      const std::string& detail) const {
    const uint32_t line = raw.lineOf ? raw.lineOf(key) : 0;
    const std::string fullPath = key.empty() ? raw.path : raw.path + "." + key;
    return DocumentError{code, file_, line, fullPath, detail};
  }

  const std::string file_;
  std::set<std::pair<std::string, std::string>> seen_;
};

}  // namespace

std::string_view toString(DocumentErrorCode code) {
  switch (code) {
    case DocumentErrorCode::kUnreadableFile:
      return "unreadable_file";
    case DocumentErrorCode::kUnknownFormat:
      return "unknown_format";
    case DocumentErrorCode::kSyntax:
      return "syntax";
    case DocumentErrorCode::kUnknownKind:
      return "unknown_kind";
    case DocumentErrorCode::kMissingName:
      return "missing_name";
    case DocumentErrorCode::kDuplicate:
      return "duplicate";
    case DocumentErrorCode::kVersion:
      return "version";
    case DocumentErrorCode::kSpecification:
      return "specification";
  }
  return "unknown";
}

std::string toString(const DocumentError& error) {
  std::string text = error.file;
  if (error.line != 0) {
    text += ":" + std::to_string(error.line);
  }
  if (!error.key.empty()) {
    text += ": " + error.key;
  }
  return text + ": " + error.detail + " (" + std::string(toString(error.code)) + ")";
}

Result<std::vector<Document>, DocumentError> parseDocuments(const std::string& file,
                                                            const std::string& text) {
  Result<std::vector<RawDocument>, DocumentError> raw =
      DocumentError{DocumentErrorCode::kUnknownFormat, file, 0, "", "must end in .json or .toml"};
  if (endsWith(file, ".json")) {
    raw = readJsonDocuments(file, text);
  } else if (endsWith(file, ".toml")) {
    raw = readTomlDocuments(file, text);
  }
  if (!isOk(raw)) {
    return errorOf(raw);
  }
  DocumentReader reader(file);
  std::vector<Document> documents;
  for (const RawDocument& each : valueOf(raw)) {
    auto document = reader.read(each);
    if (!isOk(document)) {
      return errorOf(document);
    }
    documents.push_back(std::move(valueOf(document)));
  }
  std::stable_partition(documents.begin(), documents.end(), [](const Document& document) {
    return document.kind == ObjectKind::kPolicy;
  });
  return documents;
}

Result<std::vector<Document>, DocumentError> loadDocuments(const std::string& file) {
  const std::ifstream stream(file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return DocumentError{DocumentErrorCode::kUnreadableFile, file, 0, "", "can't be read"};
  }
  return parseDocuments(file, text.str());
}

}  // namespace umberhold
