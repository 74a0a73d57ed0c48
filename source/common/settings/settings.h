/** @file What one node gets when it starts: a settings file in TOML, overridden by flags. */
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

/** An IPv4 address, host byte order. */
struct Ipv4Address {
  uint32_t value = 0;
  auto operator<=>(const Ipv4Address&) const = default;
};

/** Least severity that is logged. */
enum class LogLevel : uint8_t { kInfo, kWarning, kError };

/** A node's settings; docs/SETTINGS.md lists them, settings/settings_options.cc is the source of
 * both. */
struct NodeSettings {
  uint32_t nodeId = 0;
  std::string region;
  std::string zone;
  Ipv4Address address;
  uint16_t dataPort = 7000;
  uint16_t relayPort = 7001;
  uint16_t controlPort = 7002;
  uint16_t adminPort = 7003;
  /** Ports that other nodes send to, where something stands between; 0 for the node's own. */
  uint16_t advertisedRelayPort = 0;
  uint16_t advertisedControlPort = 0;
  std::vector<Endpoint> seeds;
  /** Port 0: this node never reads the platform's store. */
  Endpoint platform;
  std::vector<AuthenticationKey> keys;
  uint32_t signingKey = 0;
  /** Empty: the admin API refuses every call. */
  std::string adminToken;
  /** Port 0: the node answers no caller. */
  Endpoint returnGateway;
  uint32_t flowCapacity = 500000;
  FlowStrategy strategy = FlowStrategy::kOwned;
  bool ownerRelay = true;
  LogLevel logLevel = LogLevel::kInfo;
  uint32_t stopLimitSeconds = 60;
  uint32_t lingerSeconds = 3;
};

/** Why settings can't be used. */
enum class SettingsErrorCode : uint8_t {
  kUnreadableFile,
  kSyntax,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kMissingKey,
  /** Two ports or two seeds are the same. */
  kDuplicateAddress,
  /** The keys form no ring (wire/key_ring.h), or a secret is not hexadecimal. */
  kBadKeys,
};

/** A fault in the settings. */
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kSyntax;
  /** The option's name; empty where the fault is not one option's. */
  std::string key;
  /** Line in the settings file; 0 for flags and missing options. */
  uint32_t line = 0;
  /** What was expected, for people. */
  std::string detail;
};

/** @return the snake_case label of a code. */
std::string_view toString(SettingsErrorCode code);
/** @return one line for people: where, which option, what is wrong. */
std::string describe(const SettingsError& error);

/** An option set on the command line; it wins over the file. */
struct SettingOverride {
  std::string key;
  /** As in the file; text needs no quotes, lists are separated by commas. */
  std::string value;
};

/** Reads the settings from TOML text. */
Result<NodeSettings, SettingsError> parseSettings(std::string_view text,
                                                  const std::vector<SettingOverride>& overrides);
/** Reads the settings from a file; an empty path stands for an empty file. */
Result<NodeSettings, SettingsError> loadSettings(const std::string& path,
                                                 const std::vector<SettingOverride>& overrides);

}  // namespace umberhold
