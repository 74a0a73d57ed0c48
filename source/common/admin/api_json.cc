#include "common/admin/api_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace umberhold {

std::string toText(const Poco::JSON::Object& object) {
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

void addHistory(Poco::JSON::Array& array, const std::vector<ChangeEntry>& history) {
  for (const ChangeEntry& entry : history) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    setChange(*object, entry);
    array.add(object);
  }
}

void setChange(Poco::JSON::Object& object, const ChangeEntry& entry) {
  object.set("request_id", entry.requestId);
  object.set("author", entry.author);
  object.set("summary", entry.summary);
  object.set("at", static_cast<Poco::Int64>(entry.at));
}

}  // namespace umberhold
