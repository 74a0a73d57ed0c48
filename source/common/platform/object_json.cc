#include "common/platform/object_json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>
#include <variant>

#include "common/platform/json_field_reader.h"

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t kMaxDepth = 16;
constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxShardCount = 64;
constexpr int64_t kMaxUint32 = std::numeric_limits<uint32_t>::max();
/** Largest integer that every JSON library represents exactly (RFC 8259, section 6). */
constexpr int64_t kMaxSafeInteger = (int64_t{1} << 53) - 1;

constexpr int kHexadecimal = 16;

constexpr const char* kTcp = "tcp";
constexpr const char* kUdp = "udp";
constexpr const char* kOnce = "once";
constexpr const char* kRepeatable = "repeatable";
constexpr const char* kActive = "active";
constexpr const char* kDraining = "draining";

Result<Object::Ptr, ObjectError> parseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    return parser.parse(text).extract<Object::Ptr>();
  } catch (const std::exception& error) {
    return ObjectError{ObjectErrorCode::kSyntax, "", error.what()};
  }
}

Endpoint readEndpoint(JsonFieldReader& reader, const std::string& key, const std::string& text) {
  const auto endpoint = parseEndpoint(text);
  if (!endpoint) {
    reader.fail(ObjectErrorCode::kInvalidValue, key, "must be \"a.b.c.d:port\"");
  }
  return endpoint.value_or(Endpoint{});
}

HostState readState(JsonFieldReader& reader) {
  const std::string text = reader.optionalText("state", kActive);
  if (text != kActive && text != kDraining) {
    reader.fail(ObjectErrorCode::kInvalidValue, "state", "must be \"active\" or \"draining\"");
  }
  return text == kDraining ? HostState::kDraining : HostState::kActive;
}

TransportProtocol readProtocol(JsonFieldReader& reader) {
  const std::string text = reader.requiredText("protocol");
  if (text != kTcp && text != kUdp) {
    reader.fail(ObjectErrorCode::kInvalidValue, "protocol", "must be \"tcp\" or \"udp\"");
  }
  return text == kUdp ? TransportProtocol::kUdp : TransportProtocol::kTcp;
}

bool readRepeatable(JsonFieldReader& reader) {
  const std::string text = reader.optionalText("requests", kOnce);
  if (text != kOnce && text != kRepeatable) {
    reader.fail(ObjectErrorCode::kInvalidValue, "requests", "must be \"once\" or \"repeatable\"");
  }
  return text == kRepeatable;
}

uint32_t readAddress(JsonFieldReader& reader) {
  const auto address = parseAddress(reader.requiredText("address"));
  if (!address) {
    reader.fail(ObjectErrorCode::kInvalidValue, "address", "must be an IPv4 address");
  }
  return address.value_or(0);
}

/** Reads a hexadecimal string: a JSON number cannot represent 64 bits. */
uint64_t readIncarnation(JsonFieldReader& reader) {
  const std::string text = reader.optionalText("incarnation", "0");
  uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, value, kHexadecimal);
  if (failure != std::errc() || stop != end) {
    reader.fail(ObjectErrorCode::kInvalidValue, "incarnation",
                "must be 1 to 16 hexadecimal digits");
  }
  return value;
}

HostSpec readHost(JsonFieldReader reader) {
  HostSpec host;
  host.name = reader.requiredText("name");
  host.endpoint = readEndpoint(reader, "address", reader.requiredText("address"));
  const std::string probe = reader.optionalText("probe", "");
  if (!probe.empty()) {
    host.probe = readEndpoint(reader, "probe", probe);
  }
  host.zone = reader.requiredText("zone");
  host.state = readState(reader);
  host.drainDeadline = reader.optionalInteger("drain_deadline", 0, kMaxSafeInteger, 0);
  host.connectionLimit = static_cast<uint32_t>(
      reader.optionalInteger("connection_limit", 1, kMaxUint32, host.connectionLimit));
  host.weight = static_cast<uint32_t>(reader.optionalInteger("weight", 0, kMaxUint32, host.weight));
  host.incarnation = readIncarnation(reader);
  reader.rejectUnknownKeys();
  return host;
}

/**
 * Reads each element of an array of objects; stops at the first element that is not an object.
 * @param read receives a reader of the element and appends the parsed value.
 */
template <class Read>
void readObjects(JsonFieldReader& reader, const std::string& arrayKey,
                 std::optional<ObjectError>& error, const Read& read) {
  const Array::Ptr array = reader.optionalArray(arrayKey);
  for (unsigned index = 0; !array.isNull() && index < array->size(); ++index) {
    const std::string key = arrayKey + "[" + std::to_string(index) + "]";
    const Object::Ptr object = array->getObject(index);
    if (object.isNull()) {
      reader.fail(ObjectErrorCode::kWrongType, key, "must be an object");
      return;
    }
    read(JsonFieldReader(object, key, error));
  }
}

std::vector<HostSpec> readHosts(JsonFieldReader& reader, std::optional<ObjectError>& error) {
  std::vector<HostSpec> hosts;
  readObjects(reader, "hosts", error,
              [&hosts](JsonFieldReader element) { hosts.push_back(readHost(std::move(element))); });
  return hosts;
}

HostGroup readGroup(JsonFieldReader reader) {
  HostGroup group;
  group.pool = reader.requiredText("pool");
  group.share = static_cast<uint32_t>(reader.optionalInteger("share", 0, kMaxUint32, 1));
  reader.rejectUnknownKeys();
  return group;
}

std::vector<HostGroup> readGroups(JsonFieldReader& reader, std::optional<ObjectError>& error) {
  std::vector<HostGroup> groups;
  readObjects(reader, "groups", error, [&groups](JsonFieldReader element) {
    groups.push_back(readGroup(std::move(element)));
  });
  return groups;
}

std::string hexadecimal(uint64_t value) {
  std::array<char, sizeof(value) * 2> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, kHexadecimal);
  return {digits.data(), end.ptr};
}

Object::Ptr hostToJson(const HostSpec& host) {
  Object::Ptr object = new Object;
  object->set("name", host.name);
  object->set("address", toString(host.endpoint));
  if (host.probe.port != 0) {
    object->set("probe", toString(host.probe));
  }
  object->set("zone", host.zone);
  object->set("state", host.state == HostState::kDraining ? kDraining : kActive);
  object->set("drain_deadline", static_cast<Poco::Int64>(host.drainDeadline));
  object->set("connection_limit", host.connectionLimit);
  object->set("weight", host.weight);
  if (host.incarnation != 0) {
    object->set("incarnation", hexadecimal(host.incarnation));
  }
  return object;
}

Array::Ptr hostsToJson(const std::vector<HostSpec>& hosts) {
  Array::Ptr array = new Array;
  for (const HostSpec& host : hosts) {
    array->add(hostToJson(host));
  }
  return array;
}

Array::Ptr groupsToJson(const std::vector<HostGroup>& groups) {
  Array::Ptr array = new Array;
  for (const HostGroup& group : groups) {
    Object::Ptr object = new Object;
    object->set("pool", group.pool);
    object->set("share", group.share);
    array->add(object);
  }
  return array;
}

std::string stringify(const Object& object) {
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

}  // namespace

std::string_view toString(ObjectErrorCode code) {
  switch (code) {
    case ObjectErrorCode::kSyntax:
      return "syntax";
    case ObjectErrorCode::kUnknownKey:
      return "unknown_key";
    case ObjectErrorCode::kMissingKey:
      return "missing_key";
    case ObjectErrorCode::kWrongType:
      return "wrong_type";
    case ObjectErrorCode::kOutOfRange:
      return "out_of_range";
    case ObjectErrorCode::kInvalidValue:
      return "invalid_value";
  }
  return "unknown";
}

Result<Service, ObjectError> parseService(const std::string& name,
                                          const std::string& specification) {
  const auto object = parseObject(specification);
  if (!isOk(object)) {
    return errorOf(object);
  }
  std::optional<ObjectError> error;
  JsonFieldReader reader(valueOf(object), "", error);
  Service service;
  service.name = name;
  service.region = reader.requiredText("region");
  service.address = readAddress(reader);
  service.port = static_cast<uint16_t>(reader.requiredInteger("port", 1, kMaxPort));
  service.protocol = readProtocol(reader);
  service.policy = reader.optionalText("policy", "");
  service.idleTimeoutSeconds = static_cast<uint32_t>(
      reader.optionalInteger("idle_timeout_seconds", 1, kMaxUint32, service.idleTimeoutSeconds));
  service.shardCount = static_cast<uint16_t>(
      reader.optionalInteger("shards", 1, kMaxShardCount, service.shardCount));
  service.hosts = readHosts(reader, error);
  service.groups = readGroups(reader, error);
  service.repeatable = readRepeatable(reader);
  service.priority =
      static_cast<uint32_t>(reader.optionalInteger("priority", 0, kMaxUint32, service.priority));
  service.requestTimeoutMilliseconds = static_cast<uint32_t>(
      reader.optionalInteger("request_timeout_milliseconds", 0, kMaxUint32, 0));
  service.targetLatencyMilliseconds = static_cast<uint32_t>(
      reader.optionalInteger("target_latency_milliseconds", 0, kMaxUint32, 0));
  reader.rejectUnknownKeys();
  if (error) {
    return *error;
  }
  return service;
}

std::string formatService(const Service& service) {
  Object object;
  object.set("region", service.region);
  object.set("address", addressToString(service.address));
  object.set("port", service.port);
  object.set("protocol", service.protocol == TransportProtocol::kUdp ? kUdp : kTcp);
  object.set("policy", service.policy);
  object.set("idle_timeout_seconds", service.idleTimeoutSeconds);
  object.set("shards", service.shardCount);
  object.set("hosts", hostsToJson(service.hosts));
  if (!service.groups.empty()) {
    object.set("groups", groupsToJson(service.groups));
  }
  if (service.repeatable) {
    object.set("requests", kRepeatable);
  }
  object.set("priority", service.priority);
  if (service.requestTimeoutMilliseconds > 0) {
    object.set("request_timeout_milliseconds", service.requestTimeoutMilliseconds);
  }
  if (service.targetLatencyMilliseconds > 0) {
    object.set("target_latency_milliseconds", service.targetLatencyMilliseconds);
  }
  return stringify(object);
}

Result<HostPool, ObjectError> parseHostPool(const std::string& name,
                                            const std::string& specification) {
  const auto object = parseObject(specification);
  if (!isOk(object)) {
    return errorOf(object);
  }
  std::optional<ObjectError> error;
  JsonFieldReader reader(valueOf(object), "", error);
  HostPool pool;
  pool.name = name;
  pool.hosts = readHosts(reader, error);
  reader.rejectUnknownKeys();
  if (error) {
    return *error;
  }
  return pool;
}

std::string formatHostPool(const HostPool& pool) {
  Object object;
  object.set("hosts", hostsToJson(pool.hosts));
  return stringify(object);
}

Result<Policy, ObjectError> parsePolicy(const std::string& name, const std::string& specification) {
  const auto object = parseObject(specification);
  if (!isOk(object)) {
    return errorOf(object);
  }
  std::optional<ObjectError> error;
  JsonFieldReader reader(valueOf(object), "", error);
  Policy policy;
  policy.name = name;
  policy.source = reader.requiredText("source");
  reader.rejectUnknownKeys();
  if (error) {
    return *error;
  }
  return policy;
}

std::string formatPolicy(const Policy& policy) {
  Object object;
  object.set("source", policy.source);
  return stringify(object);
}

}  // namespace umberhold
