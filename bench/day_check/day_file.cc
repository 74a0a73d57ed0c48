#include "bench/day_check/day_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <optional>

namespace umberhold::day_check {
namespace {

using Fault = std::optional<DayError>;

uint32_t lineOf(const toml::node& node) {
  return node.source().begin.line;
}

std::string quoted(std::string_view key) {
  return "'" + std::string(key) + "'";
}

bool holdsText(const toml::table& table, std::string_view key) {
  return !table[key].value_or(std::string()).empty();
}

Fault checkEntry(const toml::node& node, std::string_view list) {
  const toml::table* entry = node.as_table();
  if (entry == nullptr) {
    return DayError{lineOf(node), "an entry of " + quoted(list) + " is not a table"};
  }
  const auto at = (*entry)["at"].value<double>();
  if (!at || *at < 0) {
    return DayError{lineOf(node), "an entry of " + quoted(list) + " has no 'at' of 0 s or more"};
  }
  if (!holdsText(*entry, "kind")) {
    return DayError{lineOf(node), "an entry of " + quoted(list) + " has no 'kind'"};
  }
  return std::nullopt;
}

Fault checkList(const toml::table& day, std::string_view list) {
  const toml::array* entries = day[list].as_array();
  if (entries == nullptr) {
    return DayError{0, quoted(list) + " is no list or is missing"};
  }
  for (const toml::node& entry : *entries) {
    if (Fault fault = checkEntry(entry, list)) {
      return fault;
    }
  }
  return std::nullopt;
}

Fault checkHead(const toml::table& day, std::string_view name) {
  if (day["name"].value_or(std::string()) != name) {
    return DayError{0, "'name' is not the file's name"};
  }
  if (!holdsText(day, "slot")) {
    return DayError{0, "'slot' is no text or is missing"};
  }
  if (!day["seed"].is_integer()) {
    return DayError{0, "'seed' is no whole number or is missing"};
  }
  return std::nullopt;
}

Fault checkClosing(const toml::table& day) {
  const toml::node* closing = day.get("closing");
  const bool wrong =
      closing != nullptr && (!closing->is_table() || !holdsText(*closing->as_table(), "kind"));
  return wrong ? Fault(DayError{lineOf(*closing), "'closing' has no 'kind'"}) : std::nullopt;
}

}  // namespace

Result<Ok, DayError> checkDay(std::string_view text, std::string_view name) {
  if (text.substr(0, 2) != "# ") {
    return DayError{1, "no comment says what the day is for"};
  }
  toml::table day;
  try {
    day = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return DayError{error.source().begin.line, std::string(error.description())};
  }
  for (const Fault& fault : {checkHead(day, name), checkList(day, "plan"), checkList(day, "faults"),
                             checkClosing(day)}) {
    if (fault) {
      return *fault;
    }
  }
  return Ok{};
}

}  // namespace umberhold::day_check
