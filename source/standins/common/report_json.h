/**
 * @file JSON conversion of the stand-ins' records; for the .cc files of the records only.
 *
 * Readers throw Poco::Exception if a field is missing or has another type.
 */
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include "common/base/endpoint.h"

namespace umberhold::standins {

/** A counter of a record and its JSON name. */
template <class Record>
struct CounterField {
  const char* name;
  uint64_t Record::*value;
};

/** Sets a field for each counter. */
template <class Record, class Fields>
void writeCounters(Poco::JSON::Object& object, const Record& record, const Fields& fields) {
  for (const CounterField<Record>& field : fields) {
    object.set(field.name, record.*field.value);
  }
}

/** Reads each counter from its field. */
template <class Record, class Fields>
void readCounters(const Poco::JSON::Object& object, Record& record, const Fields& fields) {
  for (const CounterField<Record>& field : fields) {
    record.*field.value = object.getValue<Poco::UInt64>(field.name);
  }
}

/** @return an array of write(item) for each item. */
template <class Item, class Write>
Poco::JSON::Array arrayOf(const std::vector<Item>& items, const Write& write) {
  Poco::JSON::Array array;
  for (const Item& item : items) {
    array.add(write(item));
  }
  return array;
}

/** @return read(array, index) for each element. */
template <class Item, class Read>
std::vector<Item> itemsOf(const Poco::JSON::Array& array, const Read& read) {
  std::vector<Item> items;
  items.reserve(array.size());
  for (unsigned index = 0; index < array.size(); ++index) {
    items.push_back(read(array, index));
  }
  return items;
}

/** @return the numbers of the array. */
template <class Number>
std::vector<Number> numbersOf(const Poco::JSON::Array& array) {
  return itemsOf<Number>(array, [](const Poco::JSON::Array& numbers, unsigned index) {
    return numbers.getElement<Number>(index);
  });
}

/** @return the numbers as an array. */
template <class Number>
Poco::JSON::Array arrayOf(const std::vector<Number>& numbers) {
  return arrayOf(numbers, [](Number number) { return number; });
}

/** @return the parsed endpoint, or an empty one if the text is invalid. */
inline Endpoint endpointOf(const std::string& text) {
  return parseEndpoint(text).value_or(Endpoint{});
}

/** @return the text of an object or array. */
template <class Json>
std::string textOf(const Json& json) {
  std::ostringstream text;
  json.stringify(text);
  return text.str();
}

}  // namespace umberhold::standins
