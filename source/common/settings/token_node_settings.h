/** @file Settings of a node with the strategy "token": a small TOML file, strictly read. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/admission/opening_queue.h"
#include "common/admission/room_limits.h"
#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/overflow/overflow_options.h"
#include "common/settings/settings.h"
#include "common/token/cold_hosts.h"
#include "common/token/placement_options.h"

namespace umberhold {

/** See docs/SETTINGS.md, "Nodes with the strategy token". */
struct TokenNodeSettings {
  /** For the log. */
  std::string node;
  std::string region;
  std::string zone;
  /** Where the fabric sends packets. */
  Endpoint data;
  /** Where GET <readinessPath> is answered. */
  Endpoint readiness;
  std::string readinessPath = "/readyz";
  /** Where GET <metricsPath> is answered; port 0 where the settings give none. */
  Endpoint metrics;
  std::string metricsPath = "/metrics";
  /** Header of callers' requests that names a request in the log; empty: none. */
  std::string requestHeader;
  /** The platform's store. */
  Endpoint store;
  /** Where other nodes ask what this one holds; port 0 where the settings give none. */
  Endpoint peerAddress;
  /** Nodes that are asked while the store can't be read at the start. */
  std::vector<Endpoint> peers;
  /** Part of a processor core that the node may use: of two nodes the one with more reads the store
   * for the other. */
  double capacity = 0.1;
  /** The whole system starts for the first time: the node waits for the others to be known. */
  bool firstStart = false;
  /** A change of services must be effective this long after the store has it, milliseconds. */
  uint32_t changeBoundMilliseconds = 3000;
  /** A host that drains must get no new flow this long after the store has it, milliseconds. */
  uint32_t drainBoundMilliseconds = 3000;
  /** An evacuated zone's hosts must get no new flow this long after the store has it, milliseconds;
   * 0 where the platform has no evacuations. */
  uint32_t evacuationBoundMilliseconds = 0;
  /** No flow lives longer, seconds. */
  uint32_t flowLifeSeconds = 60;
  /** How long packets are still forwarded after SIGTERM, milliseconds. */
  uint32_t lingerMilliseconds = 2500;
  /** Nodes that follow a reader tell it what they see of hosts, and hear of the others. */
  bool sharesObservations = true;
  /** How hosts of a pool are compared for a new flow. */
  PlacementOptions placement{};
  /** What cold hosts bear. */
  ColdHostOptions coldHosts{};
  /** When openings of flows wait in the node. */
  OpeningLimits openings{};
  /** When a flow may leave the part of its split that it is due to. */
  OverflowOptions overflow{};
  /** How far services with a target latency are held back by times. */
  RoomLimits room{};
};

/** A key whose value differs between two settings. */
struct SettingChange {
  std::string key;
  /** Whether a running node takes the new value; otherwise it holds from the next start on. */
  bool whileRunning = false;

  bool operator==(const SettingChange&) const = default;
};

/** @return the keys that differ, in the order of docs/SETTINGS.md. */
std::vector<SettingChange> settingChanges(const TokenNodeSettings& before,
                                          const TokenNodeSettings& after);

Result<TokenNodeSettings, SettingsError> parseTokenNodeSettings(std::string_view text);
Result<TokenNodeSettings, SettingsError> loadTokenNodeSettings(const std::string& path);

}  // namespace umberhold
