/** @file JSON fragments shared by several routes of the admin API. */
#pragma once

#include <string>
#include <vector>

#include "common/platform/platform_store.h"

namespace Poco::JSON {
class Array;
class Object;
}  // namespace Poco::JSON

namespace umberhold {

/** @return the object serialized as JSON text. */
std::string toText(const Poco::JSON::Object& object);
/** Adds one element per change: {"request_id", "author", "summary", "at"}. */
void addHistory(Poco::JSON::Array& array, const std::vector<ChangeEntry>& history);
/** Sets the fields of one change in the object. */
void setChange(Poco::JSON::Object& object, const ChangeEntry& entry);

}  // namespace umberhold
