/** @file The state of one shard that is transferred between nodes. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/strong_id.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** A flow and the host that it is pinned to. */
struct PinnedFlow {
  FlowHash flow;
  HostId host;

  bool operator==(const PinnedFlow&) const = default;
};

/** All state that a node needs to continue for another node. */
struct ShardContent {
  uint32_t epoch = 0;
  /** Replication sequence of the first change that is not in the content. */
  uint32_t sequence = 0;
  /** `pinned` contains every flow of the shard; any other flow is new. */
  bool knowsAllFlows = false;
  std::vector<BaseHost> base;
  std::vector<PinnedFlow> pinned;
  std::vector<FlowHash> refused;
  std::vector<HostPermits> permits;
  /** Fingerprints (known_flows.h) of every flow of the shard, if the holder has them. */
  std::optional<std::vector<uint32_t>> oldFlows;
};

}  // namespace umberhold
