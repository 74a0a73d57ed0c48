#include "common/platform/store_json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <functional>
#include <sstream>

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t kMaxDepth = 32;

StoreError malformed(const std::string& detail) {
  return StoreError{StoreErrorCode::kMalformedAnswer, detail, std::nullopt};
}

/**
 * Parses a JSON object and passes it to `read`; every library exception is converted to a
 * StoreError.
 */
template <class Value>
Result<Value, StoreError> decode(const std::string& text,
                                 const std::function<Value(const Object::Ptr&)>& read) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    return read(parser.parse(text).extract<Object::Ptr>());
  } catch (const Poco::Exception& error) {
    return malformed(error.displayText());
  } catch (const std::exception& error) {
    return malformed(error.what());
  }
}

std::string stringify(const Object::Ptr& object) {
  std::ostringstream text;
  object->stringify(text);
  return text.str();
}

Array::Ptr requiredArray(const Object::Ptr& object, const std::string& key) {
  Array::Ptr array = object->getArray(key);
  if (array.isNull()) {
    throw Poco::DataFormatException("no array", key);
  }
  return array;
}

Object::Ptr requiredObject(const Object::Ptr& object, const std::string& key) {
  Object::Ptr inner = object->getObject(key);
  if (inner.isNull()) {
    throw Poco::DataFormatException("no object", key);
  }
  return inner;
}

Object::Ptr objectAt(const Array::Ptr& array, unsigned index) {
  Object::Ptr inner = array->getObject(index);
  if (inner.isNull()) {
    throw Poco::DataFormatException("array element is no object");
  }
  return inner;
}

Array::Ptr historyToJson(const std::vector<ChangeEntry>& history) {
  Array::Ptr array = new Array;
  for (const ChangeEntry& entry : history) {
    Object::Ptr object = new Object;
    object->set("request_id", entry.requestId);
    object->set("author", entry.author);
    object->set("summary", entry.summary);
    object->set("at", static_cast<Poco::Int64>(entry.at));
    if (entry.baseVersion) {
      object->set("base_version", static_cast<Poco::UInt64>(*entry.baseVersion));
    }
    array->add(object);
  }
  return array;
}

std::vector<ChangeEntry> historyFromJson(const Array::Ptr& array) {
  std::vector<ChangeEntry> history;
  for (unsigned index = 0; index < array->size(); ++index) {
    const Object::Ptr object = objectAt(array, index);
    ChangeEntry entry;
    entry.requestId = object->getValue<std::string>("request_id");
    entry.author = object->getValue<std::string>("author");
    entry.summary = object->getValue<std::string>("summary");
    entry.at = object->getValue<Poco::Int64>("at");
    if (object->has("base_version")) {
      entry.baseVersion = object->getValue<Poco::UInt64>("base_version");
    }
    history.push_back(std::move(entry));
  }
  return history;
}

/**
 * Converts the specification, which was validated when it was stored; an unparsable one becomes an
 * empty object.
 */
Object::Ptr specificationToJson(const std::string& specification) {
  try {
    return Poco::JSON::Parser().parse(specification).extract<Object::Ptr>();
  } catch (const Poco::Exception&) {
    return new Object;
  }
}

Object::Ptr objectToJson(const StoredObject& stored) {
  Object::Ptr object = new Object;
  object->set("collection", toString(stored.collection));
  object->set("name", stored.name);
  object->set("version", static_cast<Poco::UInt64>(stored.version));
  object->set("deleted", stored.deleted);
  object->set("history", historyToJson(stored.history));
  object->set("specification", specificationToJson(stored.specification));
  return object;
}

StoredObject objectFromJson(const Object::Ptr& object) {
  const auto collection = parseCollection(object->getValue<std::string>("collection"));
  if (!collection) {
    throw Poco::DataFormatException("unknown collection");
  }
  StoredObject stored;
  stored.collection = *collection;
  stored.name = object->getValue<std::string>("name");
  stored.version = object->getValue<Poco::UInt64>("version");
  stored.deleted = object->optValue<bool>("deleted", false);
  stored.history = historyFromJson(requiredArray(object, "history"));
  stored.specification = stringify(requiredObject(object, "specification"));
  return stored;
}

Array::Ptr objectsToJson(const std::vector<StoredObject>& objects) {
  Array::Ptr array = new Array;
  for (const StoredObject& object : objects) {
    array->add(objectToJson(object));
  }
  return array;
}

std::vector<StoredObject> objectsFromJson(const Array::Ptr& array) {
  std::vector<StoredObject> objects;
  for (unsigned index = 0; index < array->size(); ++index) {
    objects.push_back(objectFromJson(objectAt(array, index)));
  }
  return objects;
}

Object::Ptr machineToJson(const Machine& machine) {
  Object::Ptr object = new Object;
  object->set("node_id", machine.nodeId);
  object->set("region", machine.region);
  object->set("zone", machine.zone);
  object->set("control", toString(machine.control));
  object->set("leaving", machine.leaving);
  return object;
}

Machine machineFromJson(const Object::Ptr& object) {
  Machine machine;
  machine.nodeId = object->getValue<Poco::UInt32>("node_id");
  machine.region = object->getValue<std::string>("region");
  machine.zone = object->getValue<std::string>("zone");
  machine.leaving = object->optValue<bool>("leaving", false);
  const auto control = parseEndpoint(object->getValue<std::string>("control"));
  if (!control) {
    throw Poco::DataFormatException("control is no endpoint");
  }
  machine.control = *control;
  return machine;
}

}  // namespace

std::optional<Collection> parseCollection(std::string_view text) {
  for (const Collection collection :
       {Collection::kServices, Collection::kPolicies, Collection::kLeases, Collection::kClaims}) {
    if (text == toString(collection)) {
      return collection;
    }
  }
  return std::nullopt;
}

Result<std::string, StoreError> encodePutBody(const PutBody& body) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    Object::Ptr object = new Object;
    object->set("expected_version", static_cast<Poco::UInt64>(body.expectedVersion));
    object->set("history", historyToJson(body.history));
    object->set("specification", parser.parse(body.specification).extract<Object::Ptr>());
    return stringify(object);
  } catch (const Poco::Exception& error) {
    return StoreError{StoreErrorCode::kRejected, "specification: " + error.displayText(), {}};
  }
}

Result<PutBody, StoreError> decodePutBody(const std::string& text) {
  return decode<PutBody>(text, [](const Object::Ptr& object) {
    PutBody body;
    body.expectedVersion = object->getValue<Poco::UInt64>("expected_version");
    body.history = historyFromJson(requiredArray(object, "history"));
    body.specification = stringify(requiredObject(object, "specification"));
    return body;
  });
}

std::string encodeStoredObject(const StoredObject& object) {
  return stringify(objectToJson(object));
}

Result<StoredObject, StoreError> decodeStoredObject(const std::string& text) {
  return decode<StoredObject>(text, objectFromJson);
}

std::string encodeObjectPage(const ObjectPage& page) {
  Object::Ptr object = new Object;
  object->set("version", static_cast<Poco::UInt64>(page.version));
  object->set("objects", objectsToJson(page.objects));
  object->set("next", page.next);
  return stringify(object);
}

Result<ObjectPage, StoreError> decodeObjectPage(const std::string& text) {
  return decode<ObjectPage>(text, [](const Object::Ptr& object) {
    ObjectPage page;
    page.version = object->getValue<Poco::UInt64>("version");
    page.objects = objectsFromJson(requiredArray(object, "objects"));
    page.next = object->optValue<std::string>("next", "");
    return page;
  });
}

std::string encodeWatchBatch(const WatchBatch& batch) {
  Object::Ptr object = new Object;
  object->set("version", static_cast<Poco::UInt64>(batch.version));
  object->set("events", objectsToJson(batch.events));
  return stringify(object);
}

Result<WatchBatch, StoreError> decodeWatchBatch(const std::string& text) {
  return decode<WatchBatch>(text, [](const Object::Ptr& object) {
    WatchBatch batch;
    batch.version = object->getValue<Poco::UInt64>("version");
    batch.events = objectsFromJson(requiredArray(object, "events"));
    return batch;
  });
}

std::string encodeMachine(const Machine& machine) {
  return stringify(machineToJson(machine));
}

Result<Machine, StoreError> decodeMachine(const std::string& text) {
  return decode<Machine>(text, machineFromJson);
}

std::string encodeMachines(const std::vector<Machine>& machines) {
  Array::Ptr array = new Array;
  for (const Machine& machine : machines) {
    array->add(machineToJson(machine));
  }
  Object::Ptr object = new Object;
  object->set("machines", array);
  return stringify(object);
}

Result<std::vector<Machine>, StoreError> decodeMachines(const std::string& text) {
  return decode<std::vector<Machine>>(text, [](const Object::Ptr& object) {
    const Array::Ptr array = requiredArray(object, "machines");
    std::vector<Machine> machines;
    for (unsigned index = 0; index < array->size(); ++index) {
      machines.push_back(machineFromJson(objectAt(array, index)));
    }
    return machines;
  });
}

std::string encodeVersion(uint64_t version) {
  Object::Ptr object = new Object;
  object->set("version", static_cast<Poco::UInt64>(version));
  return stringify(object);
}

Result<uint64_t, StoreError> decodeVersion(const std::string& text) {
  return decode<uint64_t>(text, [](const Object::Ptr& object) -> uint64_t {
    return object->getValue<Poco::UInt64>("version");
  });
}

std::string encodeError(const std::string& code, const std::string& message) {
  Object::Ptr error = new Object;
  error->set("code", code);
  error->set("message", message);
  Object::Ptr object = new Object;
  object->set("error", error);
  return stringify(object);
}

}  // namespace umberhold
