#include "common/admin/specification_diff.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <map>
#include <sstream>

namespace umberhold {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;
using Leaves = std::map<std::string, std::string>;

std::string toJson(const Var& value) {
  std::ostringstream text;
  Poco::JSON::Stringifier::stringify(value, text);
  return text.str();
}

void collectLeaves(const Var& value, const std::string& path, Leaves& leaves);

void collectMembers(const Object& object, const std::string& path, Leaves& leaves) {
  const std::string prefix = path.empty() ? "" : path + ".";
  for (const auto& [key, value] : object) {
    std::string member = prefix;
    member.append(key);
    collectLeaves(value, member, leaves);
  }
}

void collectElements(const Array& array, const std::string& path, Leaves& leaves) {
  for (unsigned index = 0; index < array.size(); ++index) {
    const Object::Ptr object = array.getObject(index);
    const bool named = !object.isNull() && object->has("name");
    const std::string label = named ? object->getValue<std::string>("name") : std::to_string(index);
    std::string element = path;
    element.append("[").append(label).append("]");
    collectLeaves(array.get(index), element, leaves);
  }
}

void collectLeaves(const Var& value, const std::string& path, Leaves& leaves) {
  if (value.type() == typeid(Object::Ptr)) {
    collectMembers(*value.extract<Object::Ptr>(), path, leaves);
  } else if (value.type() == typeid(Array::Ptr)) {
    collectElements(*value.extract<Array::Ptr>(), path, leaves);
  } else {
    leaves[path] = toJson(value);
  }
}

Leaves leavesOf(const std::string& specification) {
  Leaves leaves;
  if (!specification.empty()) {
    Poco::JSON::Parser parser;
    collectLeaves(parser.parse(specification), "", leaves);
  }
  return leaves;
}

std::optional<std::string> find(const Leaves& leaves, const std::string& path) {
  const auto found = leaves.find(path);
  return found == leaves.end() ? std::nullopt : std::optional<std::string>(found->second);
}

}  // namespace

std::vector<FieldChange> diffSpecifications(const std::string& before, const std::string& after) {
  std::vector<FieldChange> changes;
  try {
    const Leaves old = leavesOf(before);
    const Leaves updated = leavesOf(after);
    Leaves all = old;
    all.insert(updated.begin(), updated.end());
    for (const auto& [path, unused] : all) {
      FieldChange change{path, find(old, path), find(updated, path)};
      if (change.before != change.after) {
        changes.push_back(std::move(change));
      }
    }
  } catch (const Poco::Exception&) {
    changes.push_back({"", before, after});
  }
  return changes;
}

}  // namespace umberhold
