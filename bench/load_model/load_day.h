/** @file Scenarios of the load model and the results of a run. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/admission/opening_queue.h"
#include "common/admission/room_limits.h"
#include "common/token/placement_options.h"

namespace umberhold::load_model {

/** One zone at the start of a run. */
struct LoadZone {
  std::string name;
  uint32_t nodes = 25;
  uint32_t hosts = 40;
  /** Each keeps one flow per kind of request and issues requests one at a time. */
  uint32_t callers = 1000;
};

/** One kind of request. Times in milliseconds. */
struct RequestKind {
  /** Mean time of a host for a request, before the slowdown of the host. */
  double meanServiceTime = 22.0;
  double targetLatency = 250.0;
  /** Fraction of a caller's requests that are of this kind. */
  double share = 0.67;
  /** See Service::priority. */
  uint32_t priority = 1;
  /** Whether every request opens a new flow. */
  bool opensFlowPerRequest = false;
};

/**
 * Change of load or faults from `from` to `to`, in seconds from the start of the run. Hosts that
 * leave or fail stay away after `to`. The defaults change nothing.
 */
struct LoadEvent {
  double from = 0.0;
  double to = 0.0;
  /** Number of callers as a multiple of that at the start. */
  double callers = 1.0;
  /** Index of the kind of request that the additional callers issue; nullopt: all kinds. */
  std::optional<size_t> kind{};
  /**
   * Fraction of all hosts that start to drain: they accept no new flows and close each open one
   * after its next answer.
   */
  double leavingFraction = 0.0;
  /** Fraction of all hosts whose service times are multiplied by `slowdown`. */
  double slowFraction = 0.0;
  double slowdown = 1.0;
  /** Fraction of all hosts that stop answering. */
  double deadFraction = 0.0;
};

/** How the host of a new flow is selected. */
enum class HostSelection : uint8_t {
  /** By the nodes, with the production TokenDirector. */
  kNodes,
  /** Uniformly at random. */
  kRandom,
  /** The host with the lowest current load, computed from its open flows, queue and slowdown, all
   * known without delay. Greedy, so it is not an upper bound on what a placement can achieve. */
  kLeastLoaded,
};

/** One run of the load model. */
struct LoadScenario {
  std::vector<LoadZone> zones;
  std::vector<RequestKind> kinds;
  std::vector<LoadEvent> events;
  /** Mean pause in seconds between the end of a caller's request and its next one; exponentially
   * distributed. */
  double meanPause = 2.3;
  double durationSeconds = 20.0;
  uint32_t slotsPerHost = 2;
  /** Maximum number of queued requests per host; further ones are rejected. */
  uint32_t queueCapacity = 8;
  HostSelection hostSelection = HostSelection::kNodes;
  PlacementOptions placement{};
  OpeningLimits openings{};
  RoomLimits room{};
  /** Whether the nodes of a zone exchange observations of silent hosts. */
  bool sharesSilentHosts = true;
  uint64_t seed = 1;
};

/** Numbers of requests by outcome. */
struct OutcomeCounts {
  uint64_t issued = 0;
  uint64_t onTime = 0;
  uint64_t late = 0;
  /** Rejected by hosts or nodes in the last attempt. */
  uint64_t refused = 0;
  /** Neither answered nor refused: the host failed, the flow was reset or could not be opened, or
   * the request timed out. The caller may not know whether it was executed. */
  uint64_t failed = 0;

  double onTimeFraction() const {
    return issued == 0 ? 1.0 : static_cast<double>(onTime) / static_cast<double>(issued);
  }
  double servedFraction() const {
    return issued == 0 ? 1.0 : static_cast<double>(onTime + late) / static_cast<double>(issued);
  }
};

/** Results of a run. */
struct LoadResult {
  OutcomeCounts all;
  /** Requests issued during an event, by the caller's zone; in the order of LoadScenario::zones. */
  std::vector<OutcomeCounts> zones;
  /** Requests issued during an event, by kind; in the order of LoadScenario::kinds. */
  std::vector<OutcomeCounts> kinds;
  /** Maximum number of requests that arrived at an active host during events, as a multiple of the
   * mean. */
  double maxToMeanArrivals = 1.0;
  /** Fraction of the flows that were opened at a host of another zone. */
  double otherZoneFraction = 0.0;
};

/** Runs the scenario; deterministic for a given seed. */
LoadResult runScenario(const LoadScenario& scenario);

}  // namespace umberhold::load_model
