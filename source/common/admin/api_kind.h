/** @file Kinds of objects that the admin API exposes by name. */
#pragma once

#include <optional>
#include <string>

#include "common/config/record.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** A kind of object with its own routes. */
struct ApiKind {
  Collection collection = Collection::kServices;
  ObjectKind kind = ObjectKind::kService;
  /** "service" or "policy". */
  const char* singular = "service";
  /** Segment in paths, "services" or "policies". */
  const char* plural = "services";
};

constexpr ApiKind kServiceKind{Collection::kServices, ObjectKind::kService, "service", "services"};
constexpr ApiKind kPolicyKind{Collection::kPolicies, ObjectKind::kPolicy, "policy", "policies"};

/** @return the kind with this plural or singular label, or nothing. */
std::optional<ApiKind> parseApiKind(const std::string& text);

}  // namespace umberhold
