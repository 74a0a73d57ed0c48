#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <toml++/toml.h>

#include <memory>
#include <sstream>

#include "common/ctl/document_formats.h"

namespace umberhold {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

Var toJson(const toml::node& node);

Object::Ptr toJsonObject(const toml::table& table) {
  Object::Ptr object = new Object;
  for (const auto& [key, value] : table) {
    object->set(std::string(key.str()), toJson(value));
  }
  return object;
}

Array::Ptr toJsonArray(const toml::array& array) {
  Array::Ptr converted = new Array;
  for (const toml::node& element : array) {
    converted->add(toJson(element));
  }
  return converted;
}

/**
 * Dates and times become null: no specification contains them, and the specification parser rejects
 * null.
 */
Var toJson(const toml::node& node) {
  if (const auto* table = node.as_table()) {
    return toJsonObject(*table);
  }
  if (const auto* array = node.as_array()) {
    return toJsonArray(*array);
  }
  if (const auto* text = node.as_string()) {
    return text->get();
  }
  if (const auto* integer = node.as_integer()) {
    return static_cast<Poco::Int64>(integer->get());
  }
  if (const auto* number = node.as_floating_point()) {
    return number->get();
  }
  if (const auto* boolean = node.as_boolean()) {
    return boolean->get();
  }
  return {};
}

uint32_t lineOf(const toml::node& node) {
  return node.source().begin.line;
}

std::optional<uint64_t> versionIn(const toml::table& table) {
  const auto version = table["version"].value_exact<int64_t>();
  return version && *version >= 0 ? std::optional<uint64_t>(*version) : std::nullopt;
}

/** The parsed file; shared by the documents, because a copy of a node loses its line number. */
using Root = std::shared_ptr<const toml::table>;

RawDocument toRaw(const Root& root, const toml::table& table, const std::string& kind,
                  const std::string& path) {
  RawDocument raw;
  raw.kind = kind;
  raw.path = path;
  raw.name = table["name"].value_or(std::string());
  raw.version = versionIn(table);
  raw.versionIsInvalid = table.contains("version") && !raw.version;
  Object::Ptr specification = toJsonObject(table);
  specification->remove("name");
  specification->remove("version");
  std::ostringstream text;
  specification->stringify(text);
  raw.specification = text.str();
  raw.lineOf = [root, &table](const std::string& key) {
    const auto found = table.at_path(key);
    return found && !key.empty() ? lineOf(*found.node()) : lineOf(table);
  };
  return raw;
}

/** Appends the objects of one kind. @return an error if the node is not an array of tables. */
std::optional<DocumentError> appendKind(const std::string& file, const Root& root,
                                        const std::string& kind, const toml::node& node,
                                        std::vector<RawDocument>& documents) {
  const toml::array* array = node.as_array();
  if (kind != "service" && kind != "policy") {
    return DocumentError{DocumentErrorCode::kUnknownKind, file, lineOf(node), kind,
                         "must be [[service]] or [[policy]]"};
  }
  if (array == nullptr || !array->is_array_of_tables()) {
    return DocumentError{DocumentErrorCode::kSyntax, file, lineOf(node), kind,
                         "must be written as [[" + kind + "]]"};
  }
  for (size_t index = 0; index < array->size(); ++index) {
    const std::string path = kind + "[" + std::to_string(index) + "]";
    documents.push_back(toRaw(root, *array->get_as<toml::table>(index), kind, path));
  }
  return std::nullopt;
}

}  // namespace

Result<std::vector<RawDocument>, DocumentError> readTomlDocuments(const std::string& file,
                                                                  const std::string& text) {
  std::vector<RawDocument> documents;
  try {
    const Root root = std::make_shared<const toml::table>(toml::parse(text, file));
    for (const auto& [kind, node] : *root) {
      if (auto error = appendKind(file, root, std::string(kind.str()), node, documents)) {
        return *error;
      }
    }
  } catch (const toml::parse_error& error) {
    return DocumentError{DocumentErrorCode::kSyntax, file, error.source().begin.line, "",
                         std::string(error.description())};
  }
  return documents;
}

}  // namespace umberhold
