/**
 * @file Service, host pool and policy specifications as JSON, in the form that operators write and
 * the store keeps.
 *
 * Parsing is strict: an unknown key, a wrong type or a value out of range is an error that includes
 * the path of the field. The object's name is not part of its specification. For the format of a
 * specification see docs/PLATFORM_API.md.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/config/service.h"

namespace umberhold {

/** Kinds of specification errors. */
enum class ObjectErrorCode : uint8_t {
  /** The text is not a JSON object. */
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  /** A number is outside its range. */
  kOutOfRange,
  /** A string is not a valid address, endpoint, protocol or state. */
  kInvalidValue,
};

/** @return the snake_case label of a code. */
std::string_view toString(ObjectErrorCode code);

/** A specification error. */
struct ObjectError {
  ObjectErrorCode code = ObjectErrorCode::kSyntax;
  /** Path of the field, such as "hosts[2].address"; empty for the whole document. */
  std::string path;
  /** Human-readable description. */
  std::string detail;
};

/** Parses a service's specification. @param name stored in Service::name. */
Result<Service, ObjectError> parseService(const std::string& name,
                                          const std::string& specification);
/** @return the service's specification with every key except the name. */
std::string formatService(const Service& service);

/** Parses a pool's specification: {"hosts": [...]}, with hosts as in a service. */
Result<HostPool, ObjectError> parseHostPool(const std::string& name,
                                            const std::string& specification);
std::string formatHostPool(const HostPool& pool);

/** Parses a policy's specification: {"source": "..."}. */
Result<Policy, ObjectError> parsePolicy(const std::string& name, const std::string& specification);
std::string formatPolicy(const Policy& policy);

}  // namespace umberhold
