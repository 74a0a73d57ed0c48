/** @file Generates the settings file of a node in an experiment. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "deployment.h"

namespace umberhold::experiment {

/** Ids of the keys for messages between nodes. Each id has its own secret. */
struct NodeKeys {
  std::vector<uint32_t> accepted = {1};
  uint32_t signing = 1;
};

/** Settings that are not part of the deployment plan. */
struct NodeSettingsOptions {
  /** Token of the admin API. */
  std::string adminToken;
  std::string strategy;
  bool ownerRelay = true;
  NodeKeys keys;
};

/** @return the settings as TOML, with the addresses of the proxy for other nodes and the platform.
 */
std::string settingsText(const NodePlan& node, const RegionPlan& region,
                         const NodeSettingsOptions& options);

}  // namespace umberhold::experiment
