/** @file Loads settings from the file and the flags, then checks constraints between options. */
#include <toml++/toml.h>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>

#include "common/settings/settings.h"
#include "common/settings/settings_options.h"
#include "common/settings/settings_reader.h"

namespace umberhold {
namespace {

using settings_internal::errorAt;
using settings_internal::readOption;
using Fault = std::optional<SettingsError>;

/** @return the line of an option in the file, or 0 if it is not there. */
uint32_t lineOf(const toml::table& table, std::string_view key) {
  const toml::node* node = table.get(key);
  return node == nullptr ? 0 : node->source().begin.line;
}

Fault readTable(const toml::table& table, NodeSettings& settings) {
  for (const auto& [key, node] : table) {
    const OptionSpec* option = findOption(key.str());
    if (option == nullptr) {
      return errorAt(SettingsErrorCode::kUnknownKey, key.str(), node, "no such option");
    }
    if (Fault fault = readOption(*option, node, settings)) {
      return fault;
    }
  }
  return std::nullopt;
}

/** Adds the comma-separated list of a flag to the table. */
void insertList(toml::table& table, const SettingOverride& setting) {
  toml::array elements;
  std::istringstream words(setting.value);
  for (std::string word; std::getline(words, word, ',');) {
    elements.push_back(word);
  }
  table.insert_or_assign(setting.key, std::move(elements));
}

/** Adds a flag to the table with the type of its option. */
Fault insertOverride(toml::table& table, const SettingOverride& setting) {
  const OptionSpec* option = findOption(setting.key);
  if (option == nullptr) {
    return SettingsError{SettingsErrorCode::kUnknownKey, setting.key, 0, "no such option"};
  }
  const bool isNumber = std::holds_alternative<uint32_t NodeSettings::*>(option->target) ||
                        std::holds_alternative<uint16_t NodeSettings::*>(option->target);
  const bool isBool = std::holds_alternative<bool NodeSettings::*>(option->target);
  const bool isList = std::holds_alternative<std::vector<Endpoint> NodeSettings::*>(option->target);
  if (isList) {
    insertList(table, setting);
    return std::nullopt;
  }
  if (!isNumber && !isBool) {
    table.insert_or_assign(setting.key, setting.value);
    return std::nullopt;
  }
  try {
    toml::table parsed = toml::parse("value = " + setting.value);
    table.insert_or_assign(setting.key, std::move(*parsed.get("value")));
    return std::nullopt;
  } catch (const toml::parse_error&) {
    return SettingsError{SettingsErrorCode::kWrongType, setting.key, 0,
                         "expected " + typeName(*option)};
  }
}

Fault readOverrides(const std::vector<SettingOverride>& overrides, NodeSettings& settings,
                    std::set<std::string>& given) {
  toml::table table;
  for (const SettingOverride& setting : overrides) {
    if (Fault fault = insertOverride(table, setting)) {
      return fault;
    }
    given.insert(setting.key);
  }
  Fault fault = readTable(table, settings);
  if (fault) {
    fault->line = 0;
  }
  return fault;
}

Fault checkRequired(const toml::table& table, const std::set<std::string>& given) {
  for (const OptionSpec& option : optionSpecs()) {
    const std::string key(option.key);
    if (option.required && !table.contains(option.key) && !given.contains(key)) {
      return SettingsError{SettingsErrorCode::kMissingKey, key, 0, "the option is required"};
    }
  }
  return std::nullopt;
}

Fault checkPorts(const toml::table& table, const NodeSettings& settings) {
  struct Port {
    std::string_view key;
    uint16_t port;
  };
  const Port ports[] = {{"data_port", settings.dataPort},
                        {"relay_port", settings.relayPort},
                        {"control_port", settings.controlPort},
                        {"admin_port", settings.adminPort}};
  std::set<uint16_t> seen;
  for (const Port& port : ports) {
    if (!seen.insert(port.port).second) {
      return SettingsError{SettingsErrorCode::kDuplicateAddress, std::string(port.key),
                           lineOf(table, port.key), "another port of the node has this number"};
    }
  }
  return std::nullopt;
}

Fault checkSeeds(const toml::table& table, const NodeSettings& settings) {
  std::set<Endpoint> seen;
  for (const Endpoint& seed : settings.seeds) {
    if (!seen.insert(seed).second) {
      return SettingsError{SettingsErrorCode::kDuplicateAddress, "seeds", lineOf(table, "seeds"),
                           toString(seed) + " is listed twice"};
    }
  }
  return std::nullopt;
}

Fault checkKeys(const toml::table& table, NodeSettings& settings) {
  if (settings.signingKey == 0 && settings.keys.size() == 1) {
    settings.signingKey = settings.keys.front().id;
  }
  const auto ring = KeyRing::create(settings.keys, settings.signingKey);
  if (isOk(ring)) {
    return std::nullopt;
  }
  const KeyRingError error = errorOf(ring);
  const std::string key = error == KeyRingError::kSigningKeyMissing ? "signing_key" : "keys";
  return SettingsError{SettingsErrorCode::kBadKeys, key, lineOf(table, key),
                       std::string(toString(error))};
}

Fault checkTogether(const toml::table& table, NodeSettings& settings) {
  if (Fault fault = checkPorts(table, settings)) {
    return fault;
  }
  if (Fault fault = checkSeeds(table, settings)) {
    return fault;
  }
  return checkKeys(table, settings);
}

Result<NodeSettings, SettingsError> settingsFrom(const toml::table& table,
                                                 const std::vector<SettingOverride>& overrides) {
  NodeSettings settings;
  std::set<std::string> given;
  if (Fault fault = readTable(table, settings)) {
    return *fault;
  }
  if (Fault fault = readOverrides(overrides, settings, given)) {
    return *fault;
  }
  if (Fault fault = checkRequired(table, given)) {
    return *fault;
  }
  if (Fault fault = checkTogether(table, settings)) {
    return *fault;
  }
  return settings;
}

}  // namespace

std::string_view toString(SettingsErrorCode code) {
  switch (code) {
    case SettingsErrorCode::kUnreadableFile:
      return "unreadable_file";
    case SettingsErrorCode::kSyntax:
      return "syntax";
    case SettingsErrorCode::kUnknownKey:
      return "unknown_key";
    case SettingsErrorCode::kWrongType:
      return "wrong_type";
    case SettingsErrorCode::kOutOfRange:
      return "out_of_range";
    case SettingsErrorCode::kMissingKey:
      return "missing_key";
    case SettingsErrorCode::kDuplicateAddress:
      return "duplicate_address";
    case SettingsErrorCode::kBadKeys:
      return "bad_keys";
  }
  return "unknown";
}

std::string describe(const SettingsError& error) {
  std::string text(toString(error.code));
  if (!error.key.empty()) {
    text += " key=" + error.key;
  }
  if (error.line != 0) {
    text += " line=" + std::to_string(error.line);
  }
  return text + " detail=\"" + error.detail + "\"";
}

Result<NodeSettings, SettingsError> parseSettings(std::string_view text,
                                                  const std::vector<SettingOverride>& overrides) {
  try {
    const toml::table table = toml::parse(text);
    return settingsFrom(table, overrides);
  } catch (const toml::parse_error& error) {
    return SettingsError{SettingsErrorCode::kSyntax, "", error.source().begin.line,
                         std::string(error.description())};
  }
}

Result<NodeSettings, SettingsError> loadSettings(const std::string& path,
                                                 const std::vector<SettingOverride>& overrides) {
  if (path.empty()) {
    return parseSettings("", overrides);
  }
  std::ifstream file(path);
  if (!file) {
    return SettingsError{SettingsErrorCode::kUnreadableFile, "", 0, "cannot read " + path};
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return parseSettings(text, overrides);
}

}  // namespace umberhold
