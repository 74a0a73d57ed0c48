/** @file Settings of a node, read at its start from a TOML file and overridden by flags. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/node/node_core.h"
#include "common/wire/key_ring.h"

namespace umberhold {

/** An IPv4 address in host byte order. */
struct Ipv4Address {
  uint32_t value = 0;
  auto operator<=>(const Ipv4Address&) const = default;
};

/** Minimum severity that is logged. */
enum class LogLevel : uint8_t { kInfo, kWarning, kError };

/** A node's settings. docs/SETTINGS.md lists them; both follow the table in
 * settings/settings_options.cc. */
struct NodeSettings {
  uint32_t nodeId = 0;
  std::string region;
  std::string zone;
  Ipv4Address address;
  uint16_t dataPort = 7000;
  uint16_t relayPort = 7001;
  uint16_t controlPort = 7002;
  uint16_t adminPort = 7003;
  /** Ports that other nodes send to if these differ from the node's own, such as behind a NAT or
   * proxy; 0 for the node's own. */
  uint16_t advertisedRelayPort = 0;
  uint16_t advertisedControlPort = 0;
  std::vector<Endpoint> seeds;
  /** Endpoint of the platform's store; with port 0 this node never reads it. */
  Endpoint platform;
  std::vector<AuthenticationKey> keys;
  uint32_t signingKey = 0;
  /** Bearer token; if empty, the admin API rejects every call. */
  std::string adminToken;
  /** Where packets to callers are sent; with port 0 the node sends none. */
  Endpoint returnGateway;
  uint32_t flowCapacity = 500000;
  FlowStrategy strategy = FlowStrategy::kOwned;
  bool ownerRelay = true;
  LogLevel logLevel = LogLevel::kInfo;
  uint32_t stopLimitSeconds = 60;
  uint32_t lingerSeconds = 3;
};

/** Reason why settings are invalid. */
enum class SettingsErrorCode : uint8_t {
  kUnreadableFile,
  kSyntax,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kMissingKey,
  /** Two ports or two seeds are the same. */
  kDuplicateAddress,
  /** The keys form no valid key ring (wire/key_ring.h), or a secret is not hexadecimal. */
  kBadKeys,
};

/** An error in the settings. */
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kSyntax;
  /** The option's name; empty if the error concerns no single option. */
  std::string key;
  /** Line in the settings file; 0 for flags and missing options. */
  uint32_t line = 0;
  /** What was expected, for humans. */
  std::string detail;
};

/** @return the snake_case name of the code. */
std::string_view toString(SettingsErrorCode code);
/** @return one line for humans: code, option, line and detail. */
std::string describe(const SettingsError& error);

/** An option set on the command line; it takes precedence over the file. */
struct SettingOverride {
  std::string key;
  /** As in the file, but strings need no quotes and lists are comma-separated. */
  std::string value;
};

/** Parses the settings from TOML text and the overrides. */
Result<NodeSettings, SettingsError> parseSettings(std::string_view text,
                                                  const std::vector<SettingOverride>& overrides);
/** Loads the settings from a file and the overrides; an empty path is treated as an empty file. */
Result<NodeSettings, SettingsError> loadSettings(const std::string& path,
                                                 const std::vector<SettingOverride>& overrides);

}  // namespace umberhold
