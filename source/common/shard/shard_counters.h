/** @file Event counters of the shards of one node, for metrics. */
#pragma once

#include <cstdint>

namespace umberhold {

/** Counts since the start of the node. */
struct ShardCounters {
  uint64_t takeoversFromOwner = 0;
  uint64_t takeoversFromReplica = 0;
  uint64_t takeoversFromOwnState = 0;
  uint64_t shardsCreated = 0;
  uint64_t releases = 0;
  uint64_t fencedByNewerOwner = 0;
  uint64_t refusals = 0;
  uint64_t exceptionsPlaced = 0;
  uint64_t flowsPlaced = 0;
  uint64_t flowsAdopted = 0;
  uint64_t baseAdvances = 0;
  uint64_t pinnedFlowsLost = 0;
};

}  // namespace umberhold
