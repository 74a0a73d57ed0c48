/** @file Simulation of owners that place flows, for comparing placement strategies. */
#pragma once

#include <cstdint>

#include "bench/placement_sim/strategy.h"

namespace umberhold::placement_sim {

/** Arrival and life of flows. Times are in seconds; lives are exponentially distributed. */
struct Workload {
  /** Flows in the steady state. */
  double flows = 3000;
  /** Mean life of a flow. */
  double meanLife = 600;
  /** The arrival rate grows linearly to this multiple during the measured time; 1: constant. */
  double rampFactor = 1.0;
  /** Minimum arrival rate per second during the measured time, for bursts; 0: no minimum. */
  double burstRate = 0.0;
  /** Time before the measurement starts, and measured time. */
  double warmUp = 1800;
  double measured = 1200;
  double sampleInterval = 1.0;
};

/** Parameters of the simulated system and number of runs. */
struct SimOptions {
  size_t hosts = 15;
  uint16_t owners = 3;
  /** Seconds between two LoadShare messages of an owner; 0: none are sent. */
  double shareInterval = 10.0;
  uint64_t seed = 1;
  /** Number of runs, with consecutive seeds. Means are averaged; maxima are those of all runs. */
  uint64_t runs = 1;
};

/** Measurements. Imbalance is the maximum over the mean of flows per host. */
struct SimResult {
  double meanImbalance = 0.0;
  double maxImbalance = 0.0;
  /** Fraction of the new flows that were placed as exceptions. */
  double exceptionFraction = 0.0;
  /**
   * Bytes/s on the wire of one owner, with the production encoding: replication including the
   * replica's acknowledgements (mean, and maximum in one second), and load reports to the other
   * owners.
   */
  double replicationBytes = 0.0;
  double maxReplicationBytes = 0.0;
  double loadShareBytes = 0.0;
};

SimResult simulate(const Strategy& strategy, const Workload& workload, SimOptions options);

}  // namespace umberhold::placement_sim
