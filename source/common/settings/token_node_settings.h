/** @file Settings of a node with the strategy "token", from a strictly validated TOML file. */
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

/** Settings of one node; see docs/SETTINGS.md, "Nodes with the strategy token". */
struct TokenNodeSettings {
  /** Name of the node in logs. */
  std::string node;
  std::string region;
  std::string zone;
  /** Endpoint to which the fabric sends packets. */
  Endpoint data;
  /** Endpoint that serves GET <readinessPath>. */
  Endpoint readiness;
  std::string readinessPath = "/readyz";
  /** Endpoint that serves GET <metricsPath>; port 0 if not set. */
  Endpoint metrics;
  std::string metricsPath = "/metrics";
  /** Header of callers' requests that contains the request identifier for the log; empty for none.
   */
  std::string requestHeader;
  /** Endpoint of the platform's store. */
  Endpoint store;
  /** Endpoint at which other nodes query the state of this one; port 0 if not set. */
  Endpoint peerAddress;
  /** Nodes that are queried if the store can't be read at the start. */
  std::vector<Endpoint> peers;
  /** Share of a processor core that the node may use. Of two nodes, the one with the larger share
   * reads the store for the other. */
  double capacity = 0.1;
  /** Set when the whole system starts for the first time: the node then waits until the other nodes
   * are known. */
  bool firstStart = false;
  /** Maximum time until a change of services takes effect after the store has it, milliseconds. */
  uint32_t changeBoundMilliseconds = 3000;
  /** Maximum time until a draining host receives no new flows after the store has the change,
   * milliseconds. */
  uint32_t drainBoundMilliseconds = 3000;
  /** Maximum time until hosts of an evacuated zone receive no new flows after the store has the
   * evacuation, milliseconds; 0 if the platform has no evacuations. */
  uint32_t evacuationBoundMilliseconds = 0;
  /** Time after a disturbance of this node or of its path to the store from which on the bounds
   * above apply again, milliseconds; 0: they apply at once. */
  uint32_t disturbanceGraceMilliseconds = 4000;
  /** Time for which the store keeps the changes that a watch may begin at, seconds. */
  uint32_t storeHistorySeconds = 20;
  /** Maximum lifetime of a flow, seconds. */
  uint32_t flowLifeSeconds = 60;
  /** Time for which packets are still forwarded after SIGTERM, milliseconds. */
  uint32_t lingerMilliseconds = 2500;
  /** Whether nodes that follow a reader send it their observations of hosts and receive those of
   * the others. */
  bool sharesObservations = true;
  /** Options for comparing the hosts of a pool for a new flow. */
  PlacementOptions placement{};
  /** Limits on the load of cold hosts. */
  ColdHostOptions coldHosts{};
  /** Limits beyond which openings of flows wait in the node. */
  OpeningLimits openings{};
  /** Options for placing a flow outside its assigned part of a split. */
  OverflowOptions overflow{};
  /** Limits on services with a target latency, based on response times. */
  RoomLimits room{};
};

/** An option whose value differs between two settings. */
struct SettingChange {
  std::string key;
  /** Whether a running node applies the new value; otherwise it applies from the next start. */
  bool whileRunning = false;

  bool operator==(const SettingChange&) const = default;
};

/** @return the options that differ, in the order of docs/SETTINGS.md. */
std::vector<SettingChange> settingChanges(const TokenNodeSettings& before,
                                          const TokenNodeSettings& after);

Result<TokenNodeSettings, SettingsError> parseTokenNodeSettings(std::string_view text);
Result<TokenNodeSettings, SettingsError> loadTokenNodeSettings(const std::string& path);

}  // namespace umberhold
