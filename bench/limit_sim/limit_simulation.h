/** @file Simulation of connection limits: owners run the production placement with hosts close to
 * their limits. */
#pragma once

#include <cstdint>

#include "common/placement/connection_limit.h"

namespace umberhold::limit_sim {

/** Changes of owners during a run. */
enum class OwnerChanges { kNone, kPlannedHandovers, kFailures };

/** Parameters of a run. */
struct LimitOptions {
  ConnectionLimitMode mode = ConnectionLimitMode::kLentPermits;
  OwnerChanges ownerChanges = OwnerChanges::kNone;
  /** Offered flows as a fraction of the sum of the hosts' limits. */
  double load = 0.95;
  /** Fraction of the new flows that belong to shard 0; the rest is divided equally among the other
   * shards. */
  double firstShardFraction = 1.0 / 3.0;
  size_t hosts = 15;
  uint32_t connectionLimit = 2000;
  uint16_t shards = 3;
  /** Mean life of a flow and duration of the run, in seconds. */
  double meanLife = 120.0;
  double duration = 600.0;
  /** Fraction of the messages that are lost. */
  double loss = 0.01;
  uint64_t seed = 1;
};

/** Measurements of a run. */
struct LimitResult {
  uint64_t arrivals = 0;
  uint64_t refused = 0;
  /** Refused although at least one host had fewer flows, over all owners, than its limit. */
  uint64_t refusedBelowLimit = 0;
  /** Maximum number of flows of a host in excess of its limit, and fraction of the time during
   * which any host exceeded its limit. */
  uint32_t maxOvershoot = 0;
  double overshootFraction = 0.0;
  /** Bytes/s of one owner for permits, and for load reports to owners and replicas. */
  double permitBytes = 0.0;
  double loadShareBytes = 0.0;
};

LimitResult simulate(const LimitOptions& options);

}  // namespace umberhold::limit_sim
