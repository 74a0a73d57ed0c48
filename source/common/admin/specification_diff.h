/** @file Field-by-field difference of two specifications. */
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace umberhold {

/** One differing field; the values are JSON texts, or nothing if the field is absent. */
struct FieldChange {
  /** Such as "policy" or "hosts[dispatch-3].weight". */
  std::string field;
  std::optional<std::string> before;
  std::optional<std::string> after;

  bool operator==(const FieldChange&) const = default;
};

/**
 * Compares two specifications; array elements with a "name" are matched by name.
 * @param before and @param after JSON objects; an empty text is an empty object.
 * @return the changes in the order of the field names.
 */
std::vector<FieldChange> diffSpecifications(const std::string& before, const std::string& after);

}  // namespace umberhold
