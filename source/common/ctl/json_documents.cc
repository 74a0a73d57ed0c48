#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <cstddef>
#include <sstream>

#include "common/ctl/document_formats.h"

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t kMaxDepth = 16;
constexpr const char* kKind = "kind";
constexpr const char* kName = "name";
constexpr const char* kVersion = "version";

std::string textOf(const Object& object, const char* key) {
  const Poco::Dynamic::Var value = object.get(key);
  return value.isString() ? value.extract<std::string>() : "";
}

std::optional<uint64_t> versionIn(const Object& object) {
  const Poco::Dynamic::Var value = object.get(kVersion);
  if (!value.isInteger() || value.isBoolean()) {
    return std::nullopt;
  }
  try {
    return value.convert<Poco::UInt64>();
  } catch (const Poco::RangeException&) {
    return std::nullopt;
  }
}

/**
 * The parser's errors contain no location, but it reads byte by byte and stops after the invalid
 * byte.
 * @return the line of that byte, from 1.
 */
uint32_t lineOfLastRead(std::istringstream& stream, const std::string& text) {
  stream.clear();
  const auto read = static_cast<ptrdiff_t>(stream.tellg());
  const ptrdiff_t before = std::max<ptrdiff_t>(read, 1) - 1;
  return static_cast<uint32_t>(1 + std::count(text.begin(), text.begin() + before, '\n'));
}

RawDocument toRaw(const Object& object, const std::string& path) {
  RawDocument raw;
  raw.path = path;
  raw.kind = textOf(object, kKind);
  raw.name = textOf(object, kName);
  raw.version = versionIn(object);
  raw.versionIsInvalid = object.has(kVersion) && !raw.version;
  Object rest(object);
  for (const char* key : {kKind, kName, kVersion}) {
    rest.remove(key);
  }
  std::ostringstream text;
  rest.stringify(text);
  raw.specification = text.str();
  return raw;
}

}  // namespace

Result<std::vector<RawDocument>, DocumentError> readJsonDocuments(const std::string& file,
                                                                  const std::string& text) {
  std::vector<RawDocument> documents;
  std::istringstream stream(text);
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    const Poco::Dynamic::Var root = parser.parse(stream);
    if (root.type() == typeid(Object::Ptr)) {
      documents.push_back(toRaw(*root.extract<Object::Ptr>(), "$"));
      return documents;
    }
    const auto& array = root.extract<Array::Ptr>();
    for (unsigned index = 0; index < array->size(); ++index) {
      const std::string path = "$[" + std::to_string(index) + "]";
      const Object::Ptr object = array->getObject(index);
      if (object.isNull()) {
        return DocumentError{DocumentErrorCode::kSyntax, file, 0, path, "must be an object"};
      }
      documents.push_back(toRaw(*object, path));
    }
  } catch (const Poco::Exception& error) {
    return DocumentError{DocumentErrorCode::kSyntax, file, lineOfLastRead(stream, text), "",
                         error.displayText()};
  }
  return documents;
}

}  // namespace umberhold
