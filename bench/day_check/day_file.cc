#include "bench/day_check/day_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <optional>

namespace umberhold::day_check {
namespace {

using OptionalError = std::optional<DayError>;

uint32_t lineOf(const toml::node& node) {
  return node.source().begin.line;
}

std::string quoted(std::string_view key) {
  return "'" + std::string(key) + "'";
}

/** @return whether the key has a non-empty string value. */
bool hasText(const toml::table& table, std::string_view key) {
  return !table[key].value_or(std::string()).empty();
}

OptionalError checkEntry(const toml::node& node, std::string_view arrayKey) {
  const toml::table* entry = node.as_table();
  if (entry == nullptr) {
    return DayError{lineOf(node), "an entry of " + quoted(arrayKey) + " is not a table"};
  }
  const auto at = (*entry)["at"].value<double>();
  if (!at || *at < 0) {
    return DayError{lineOf(node), "an entry of " + quoted(arrayKey) + " has no non-negative 'at'"};
  }
  if (!hasText(*entry, "kind")) {
    return DayError{lineOf(node), "an entry of " + quoted(arrayKey) + " has no 'kind'"};
  }
  return std::nullopt;
}

OptionalError checkArray(const toml::table& day, std::string_view arrayKey) {
  const toml::array* entries = day[arrayKey].as_array();
  if (entries == nullptr) {
    return DayError{0, quoted(arrayKey) + " is missing or not an array"};
  }
  for (const toml::node& entry : *entries) {
    if (OptionalError error = checkEntry(entry, arrayKey)) {
      return error;
    }
  }
  return std::nullopt;
}

OptionalError checkHeader(const toml::table& day, std::string_view name) {
  if (day["name"].value_or(std::string()) != name) {
    return DayError{0, "'name' differs from the file name"};
  }
  if (!hasText(day, "slot")) {
    return DayError{0, "'slot' is missing, empty or not a string"};
  }
  if (!day["seed"].is_integer()) {
    return DayError{0, "'seed' is missing or not an integer"};
  }
  return std::nullopt;
}

OptionalError checkClosing(const toml::table& day) {
  const toml::node* closing = day.get("closing");
  const bool isInvalid =
      closing != nullptr && (!closing->is_table() || !hasText(*closing->as_table(), "kind"));
  return isInvalid ? OptionalError(DayError{lineOf(*closing), "'closing' has no 'kind'"})
                   : std::nullopt;
}

}  // namespace

Result<Ok, DayError> checkDay(std::string_view text, std::string_view name) {
  if (text.substr(0, 2) != "# ") {
    return DayError{1, "the first line is not a comment that describes the day"};
  }
  toml::table day;
  try {
    day = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return DayError{error.source().begin.line, std::string(error.description())};
  }
  for (const OptionalError& error : {checkHeader(day, name), checkArray(day, "plan"),
                                     checkArray(day, "faults"), checkClosing(day)}) {
    if (error) {
      return *error;
    }
  }
  return Ok{};
}

}  // namespace umberhold::day_check
