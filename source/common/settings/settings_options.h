/** @file The table of options, used for parsing, checks, help and docs/SETTINGS.md. */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/settings/settings.h"

namespace umberhold {

/** The member that an option sets; its type is the option's type. */
using OptionTarget =
    std::variant<uint32_t NodeSettings::*, uint16_t NodeSettings::*, bool NodeSettings::*,
                 std::string NodeSettings::*, Ipv4Address NodeSettings::*, Endpoint NodeSettings::*,
                 std::vector<Endpoint> NodeSettings::*, FlowStrategy NodeSettings::*,
                 LogLevel NodeSettings::*, std::vector<AuthenticationKey> NodeSettings::*>;

/** Description of one option. */
struct OptionSpec {
  std::string_view key;
  OptionTarget target;
  bool required = false;
  /** Range of an integer, or of the length of a string. */
  uint64_t minimum = 0;
  uint64_t maximum = 0;
  std::string_view documentation;
};

/** A value of an enumerated option and its name. */
template <class Enum>
struct Choice {
  std::string_view word;
  Enum value;
};

/** @return the choices of an enumerated option; the argument only selects the type. */
std::span<const Choice<FlowStrategy>> choicesOf(FlowStrategy example);
std::span<const Choice<LogLevel>> choicesOf(LogLevel example);

/** @return every option, in the order of the documentation. */
std::span<const OptionSpec> optionSpecs();
/** @return the option, or nullptr if there is none. */
const OptionSpec* findOption(std::string_view key);

/** @return the name of the option's type, for humans. */
std::string typeName(const OptionSpec& option);
/** @return the option's default, for humans. */
std::string defaultText(const OptionSpec& option);
/** @return the options as plain text for --help. */
std::string settingsHelp();
/** @return the options as a Markdown table, which is the body of docs/SETTINGS.md. */
std::string settingsMarkdown();

}  // namespace umberhold
