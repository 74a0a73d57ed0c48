/** @file Reads typed values from TOML nodes. */
#include "common/settings/settings_reader.h"

#include <cctype>
#include <fstream>
#include <iterator>
#include <utility>

namespace umberhold::settings_internal {
namespace {

using Fault = std::optional<SettingsError>;

/** Reads the value of one option, with one overload per member type. */
class OptionReader {
 public:
  OptionReader(const OptionSpec& option, const toml::node& node) : option_(option), node_(node) {}

  Fault read(uint32_t& value) const { return readInteger(value); }
  Fault read(uint16_t& value) const { return readInteger(value); }
  Fault read(bool& value) const {
    const auto found = node_.value_exact<bool>();
    if (!found) {
      return fault(SettingsErrorCode::kWrongType);
    }
    value = *found;
    return std::nullopt;
  }
  Fault read(std::string& value) const {
    const auto found = node_.value_exact<std::string>();
    if (!found) {
      return fault(SettingsErrorCode::kWrongType);
    }
    if (found->size() < option_.minimum || found->size() > option_.maximum) {
      return fault(SettingsErrorCode::kOutOfRange);
    }
    value = *found;
    return std::nullopt;
  }
  Fault read(Ipv4Address& value) const {
    const auto address = parseAddress(node_.value_exact<std::string_view>().value_or(""));
    if (!address) {
      return fault(SettingsErrorCode::kWrongType);
    }
    value.value = *address;
    return std::nullopt;
  }
  Fault read(Endpoint& value) const { return readEndpoint(node_, value); }
  Fault read(std::vector<Endpoint>& values) const {
    if (!node_.is_array()) {
      return fault(SettingsErrorCode::kWrongType);
    }
    values.clear();
    for (const toml::node& element : *node_.as_array()) {
      if (auto found = readEndpoint(element, values.emplace_back())) {
        return found;
      }
    }
    return std::nullopt;
  }
  Fault read(FlowStrategy& value) const { return readChoice(value); }
  Fault read(LogLevel& value) const { return readChoice(value); }
  Fault read(std::vector<AuthenticationKey>& keys) const {
    if (!node_.is_array()) {
      return fault(SettingsErrorCode::kWrongType);
    }
    keys.clear();
    for (const toml::node& element : *node_.as_array()) {
      if (auto found = readKey(element, keys.emplace_back())) {
        return found;
      }
    }
    return std::nullopt;
  }

 private:
  Fault fault(SettingsErrorCode code) const {
    return faultAt(node_, code, "expected " + typeName(option_));
  }
  Fault faultAt(const toml::node& node, SettingsErrorCode code, std::string detail) const {
    return errorAt(code, option_.key, node, std::move(detail));
  }
  template <class Integer>
  Fault readInteger(Integer& value) const {
    const auto found = node_.value_exact<int64_t>();
    if (!found) {
      return fault(SettingsErrorCode::kWrongType);
    }
    if (*found < 0 || std::cmp_less(*found, option_.minimum) ||
        std::cmp_greater(*found, option_.maximum)) {
      return fault(SettingsErrorCode::kOutOfRange);
    }
    value = static_cast<Integer>(*found);
    return std::nullopt;
  }
  template <class Enum>
  Fault readChoice(Enum& value) const {
    const auto word = node_.value_exact<std::string_view>();
    for (const Choice<Enum>& choice : choicesOf(value)) {
      if (word == choice.word) {
        value = choice.value;
        return std::nullopt;
      }
    }
    return fault(word ? SettingsErrorCode::kOutOfRange : SettingsErrorCode::kWrongType);
  }
  Fault readEndpoint(const toml::node& node, Endpoint& value) const {
    const auto endpoint = parseEndpoint(node.value_exact<std::string_view>().value_or(""));
    if (!endpoint) {
      return faultAt(node, SettingsErrorCode::kWrongType, "expected " + typeName(option_));
    }
    value = *endpoint;
    return std::nullopt;
  }
  Fault readKey(const toml::node& node, AuthenticationKey& key) const;

  const OptionSpec& option_;
  const toml::node& node_;
};

std::optional<std::string> bytesFromHex(std::string_view text) {
  std::string bytes;
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  for (size_t index = 0; index < text.size(); index += 2) {
    const std::string pair(text.substr(index, 2));
    if (std::isxdigit(static_cast<unsigned char>(pair[0])) == 0 ||
        std::isxdigit(static_cast<unsigned char>(pair[1])) == 0) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(std::stoi(pair, nullptr, 16)));
  }
  return bytes;
}

std::optional<std::string> firstLineOf(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  if (!std::getline(file, line)) {
    return std::nullopt;
  }
  while (!line.empty() && std::isspace(static_cast<unsigned char>(line.back())) != 0) {
    line.pop_back();
  }
  return line;
}

Fault OptionReader::readKey(const toml::node& node, AuthenticationKey& key) const {
  constexpr auto kBad = SettingsErrorCode::kBadKeys;
  const toml::table* table = node.as_table();
  if (table == nullptr) {
    return faultAt(node, SettingsErrorCode::kWrongType,
                   "expected a table of id and secret or file");
  }
  for (const auto& [name, value] : *table) {
    if (name != "id" && name != "secret" && name != "file") {
      return faultAt(value, SettingsErrorCode::kUnknownKey, "a key has id, secret and file only");
    }
  }
  const auto id = table->get("id") ? table->get("id")->value_exact<int64_t>() : std::nullopt;
  if (!id || *id < 1 || !std::in_range<uint32_t>(*id)) {
    return faultAt(node, kBad, "expected id, an integer of 1 to 4294967295");
  }
  const auto secret = (*table)["secret"].value<std::string>();
  const auto file = (*table)["file"].value<std::string>();
  if (secret.has_value() == file.has_value()) {
    return faultAt(node, kBad, "expected either secret or file");
  }
  const auto text = secret ? secret : firstLineOf(*file);
  if (!text) {
    return faultAt(node, SettingsErrorCode::kUnreadableFile, "cannot read " + *file);
  }
  const auto bytes = bytesFromHex(*text);
  if (!bytes || bytes->size() < kMinSecretBytes) {
    return faultAt(node, kBad, "expected a hexadecimal secret of 16 bytes or more");
  }
  key = AuthenticationKey{static_cast<uint32_t>(*id), *bytes};
  return std::nullopt;
}

}  // namespace

SettingsError errorAt(SettingsErrorCode code, std::string_view key, const toml::node& node,
                      std::string detail) {
  return {code, std::string(key), node.source().begin.line, std::move(detail)};
}

std::optional<SettingsError> readOption(const OptionSpec& option, const toml::node& node,
                                        NodeSettings& settings) {
  const OptionReader reader(option, node);
  return std::visit([&](auto member) { return reader.read(settings.*member); }, option.target);
}

}  // namespace umberhold::settings_internal
