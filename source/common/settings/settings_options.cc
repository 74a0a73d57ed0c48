/** @file The table of options. */
#include "common/settings/settings_options.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace umberhold {
namespace {

constexpr uint64_t kMaxPort = 65535;
constexpr uint64_t kMaxNameLength = 63;
constexpr uint64_t kMaxTokenLength = 256;
constexpr uint64_t kMaxFlows = 4'000'000;
constexpr uint64_t kMaxStopSeconds = 3600;

using S = NodeSettings;

const std::array kOptions = {
    OptionSpec{"node_id", &S::nodeId, true, 1, UINT32_MAX,
               "Number of this node; no two running nodes share one."},
    OptionSpec{"region", &S::region, true, 1, kMaxNameLength, "Name of the region."},
    OptionSpec{"zone", &S::zone, true, 1, kMaxNameLength, "Name of the zone within the region."},
    OptionSpec{"address", &S::address, true, 0, 0,
               "IPv4 address that the node listens on and that others reach it by."},
    OptionSpec{"data_port", &S::dataPort, false, 1, kMaxPort,
               "UDP port for packets from the fabric (GUE variant 1)."},
    OptionSpec{"relay_port", &S::relayPort, false, 1, kMaxPort,
               "UDP port for packets that other nodes relay."},
    OptionSpec{"control_port", &S::controlPort, false, 1, kMaxPort,
               "UDP port for messages between nodes."},
    OptionSpec{"admin_port", &S::adminPort, false, 1, kMaxPort,
               "TCP port of the HTTP server: admin API, metrics, health."},
    OptionSpec{"advertised_relay_port", &S::advertisedRelayPort, false, 0, kMaxPort,
               "Relay port that other nodes send to; 0 for relay_port."},
    OptionSpec{"advertised_control_port", &S::advertisedControlPort, false, 0, kMaxPort,
               "Control port that other nodes send to; 0 for control_port."},
    OptionSpec{"seeds", &S::seeds, false, 0, 0,
               "Control endpoints of some nodes of the region; this node itself may be one."},
    OptionSpec{"platform", &S::platform, false, 0, 0,
               "HTTP endpoint of the platform's object store; without it the node never reads it."},
    OptionSpec{
        "keys", &S::keys, true, 0, 0,
        "Keys of node messages: tables of id and either secret (hexadecimal, 16 bytes or more) "
        "or file (whose content is the hexadecimal secret)."},
    OptionSpec{"signing_key", &S::signingKey, false, 0, UINT32_MAX,
               "Id of the key that signs; 0 for the only key."},
    OptionSpec{"admin_token", &S::adminToken, false, 0, kMaxTokenLength,
               "Bearer token of the admin API; without it every call is refused."},
    OptionSpec{"return_gateway", &S::returnGateway, false, 0, 0,
               "Where the node's own answers to callers are sent (GUE variant 1); without it none "
               "are."},
    OptionSpec{"flow_capacity", &S::flowCapacity, false, 1000, kMaxFlows,
               "Flows that the flow table has room for."},
    OptionSpec{"strategy", &S::strategy, false, 0, 0,
               "How flows are placed; all but owned are baselines to measure against."},
    OptionSpec{"owner_relay", &S::ownerRelay, false, 0, 0,
               "Whether packets are relayed to their flow's owner; false is for experiments."},
    OptionSpec{"log_level", &S::logLevel, false, 0, 0, "Least severity that is logged."},
    OptionSpec{"stop_limit_seconds", &S::stopLimitSeconds, false, 1, kMaxStopSeconds,
               "A planned stop ends after this long even if something is not handed over."},
    OptionSpec{"linger_seconds", &S::lingerSeconds, false, 0, kMaxStopSeconds,
               "How long a stopping node goes on relaying after everything is handed over."},
};

constexpr std::array kStrategies = {Choice<FlowStrategy>{"owned", FlowStrategy::kOwned},
                                    Choice<FlowStrategy>{"plain-hash", FlowStrategy::kPlainHash},
                                    Choice<FlowStrategy>{"local-table", FlowStrategy::kLocalTable}};
constexpr std::array kLogLevels = {Choice<LogLevel>{"info", LogLevel::kInfo},
                                   Choice<LogLevel>{"warning", LogLevel::kWarning},
                                   Choice<LogLevel>{"error", LogLevel::kError}};

template <class Enum>
std::string wordsOf(std::span<const Choice<Enum>> choices) {
  std::string text;
  for (const Choice<Enum>& choice : choices) {
    text.append(text.empty() ? "" : ", ").append(choice.word);
  }
  return text;
}

template <class Enum>
std::string wordOf(Enum value) {
  for (const Choice<Enum>& choice : choicesOf(value)) {
    if (choice.value == value) {
      return std::string(choice.word);
    }
  }
  return {};
}

std::string rangeOf(const OptionSpec& option) {
  return std::to_string(option.minimum) + " to " + std::to_string(option.maximum);
}

/** Names the type of an option by the type of its member. */
struct TypeNamer {
  const OptionSpec& option;
  std::string operator()(uint32_t /*value*/) const { return "integer, " + rangeOf(option); }
  std::string operator()(uint16_t /*value*/) const { return "integer, " + rangeOf(option); }
  std::string operator()(bool /*value*/) const { return "boolean"; }
  std::string operator()(const std::string& /*value*/) const {
    return "text of " + rangeOf(option) + " characters";
  }
  std::string operator()(Ipv4Address /*value*/) const { return "IPv4 address"; }
  std::string operator()(const Endpoint& /*value*/) const { return "address:port"; }
  std::string operator()(const std::vector<Endpoint>& /*value*/) const {
    return "list of address:port";
  }
  std::string operator()(FlowStrategy value) const { return "one of " + wordsOf(choicesOf(value)); }
  std::string operator()(LogLevel value) const { return "one of " + wordsOf(choicesOf(value)); }
  std::string operator()(const std::vector<AuthenticationKey>& /*value*/) const {
    return "list of tables";
  }
};

/** Writes the value of an option's member. */
struct ValueWriter {
  std::string operator()(uint32_t value) const { return std::to_string(value); }
  std::string operator()(uint16_t value) const { return std::to_string(value); }
  std::string operator()(bool value) const { return value ? "true" : "false"; }
  std::string operator()(const std::string& value) const { return value; }
  std::string operator()(Ipv4Address value) const { return addressToString(value.value); }
  std::string operator()(const Endpoint& value) const {
    return value.port == 0 ? "" : toString(value);
  }
  std::string operator()(const std::vector<Endpoint>& /*value*/) const { return ""; }
  std::string operator()(FlowStrategy value) const { return wordOf(value); }
  std::string operator()(LogLevel value) const { return wordOf(value); }
  std::string operator()(const std::vector<AuthenticationKey>& /*value*/) const { return ""; }
};

/** Calls a visitor with the default value of an option. */
template <class Visitor>
std::string visitDefault(const OptionSpec& option, const Visitor& visitor) {
  const NodeSettings defaults;
  return std::visit([&](auto member) { return visitor(defaults.*member); }, option.target);
}

}  // namespace

std::span<const Choice<FlowStrategy>> choicesOf(FlowStrategy /*example*/) {
  return kStrategies;
}
std::span<const Choice<LogLevel>> choicesOf(LogLevel /*example*/) {
  return kLogLevels;
}

std::span<const OptionSpec> optionSpecs() {
  return kOptions;
}

const OptionSpec* findOption(std::string_view key) {
  const auto* found = std::find_if(kOptions.begin(), kOptions.end(),
                                   [key](const OptionSpec& option) { return option.key == key; });
  return found == kOptions.end() ? nullptr : found;
}

std::string typeName(const OptionSpec& option) {
  return visitDefault(option, TypeNamer{option});
}

std::string defaultText(const OptionSpec& option) {
  return option.required ? "required" : visitDefault(option, ValueWriter{});
}

std::string settingsHelp() {
  constexpr int kKeyColumn = 26;
  std::ostringstream help;
  help << "Options of the settings file, each also by --set key=value:\n";
  for (const OptionSpec& option : kOptions) {
    help << "  " << std::left << std::setw(kKeyColumn) << option.key << option.documentation << "\n"
         << std::string(kKeyColumn + 2, ' ') << "(" << typeName(option);
    const std::string text = defaultText(option);
    help << (text.empty() || option.required ? "" : "; default ") << (option.required ? "; " : "")
         << text << ")\n";
  }
  return help.str();
}

std::string settingsMarkdown() {
  std::ostringstream table;
  table << "| Option | Type | Default | Meaning |\n|---|---|---|---|\n";
  for (const OptionSpec& option : kOptions) {
    table << "| `" << option.key << "` | " << typeName(option) << " | " << defaultText(option)
          << " | " << option.documentation << " |\n";
  }
  return table.str();
}

}  // namespace umberhold
