/** @file A day of load for the load model, and what callers got of it. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/admission/opening_queue.h"
#include "common/admission/room_limits.h"
#include "common/token/placement_options.h"

namespace umberhold::load_model {

/** One zone at the day's start. */
struct LoadZone {
  std::string name;
  uint32_t nodes = 25;
  uint32_t hosts = 40;
  /** Each keeps a flow for each kind of request and sends one request after the other. */
  uint32_t users = 1000;
};

/** One kind of request. Times in milliseconds. */
struct LoadKind {
  double workMean = 22.0;
  double aim = 250.0;
  /** Part of a user's requests. */
  double share = 0.67;
  /** As Service::priority. */
  uint32_t priority = 1;
  /** Each request opens a flow of its own. */
  bool opensEach = false;
};

/** What happens from `from` to `to`, in seconds. Factors of 1 change nothing. */
struct LoadEvent {
  double from = 0.0;
  double to = 0.0;
  /** Users, as a multiple of those at the start. */
  double users = 1.0;
  /** What the users that come ask for: the index of a kind; none: all kinds. */
  std::optional<size_t> kind{};
  /** This part of each zone's hosts takes no new flow, and is gone a second later. */
  double hostsGone = 0.0;
  /** This part of the hosts works so many times longer. */
  double slowPart = 0.0;
  double slowness = 1.0;
  /** This part of the hosts answers nothing. */
  double deadPart = 0.0;
};

/** Who chooses the host of a new flow. */
enum class Chooser : uint8_t {
  /** Nodes, by the product's TokenDirector. */
  kNodes,
  /** Any host. */
  kRandom,
  /** The host with the least to do at that moment, by its open flows, its queue and its pace, all
   * of which are known at once. Greedy, so no bound on what a placement can reach. */
  kCentral,
};

/** See the file comment. */
struct LoadDay {
  std::vector<LoadZone> zones;
  std::vector<LoadKind> kinds;
  std::vector<LoadEvent> events;
  /** A user's pause between an answer and the next request, seconds, exponential. */
  double pause = 2.3;
  double seconds = 20.0;
  uint32_t slots = 2;
  uint32_t queue = 8;
  Chooser chooser = Chooser::kNodes;
  PlacementOptions placement{};
  OpeningLimits openings{};
  RoomLimits room{};
  /** Nodes of a zone tell each other of silent hosts. */
  bool sharesSilence = true;
  uint64_t seed = 1;
};

/** What became of the requests of one zone's users. */
struct LoadOutcome {
  uint64_t asked = 0;
  uint64_t inAim = 0;
  uint64_t late = 0;
  /** Turned away by hosts or nodes, and so were its repeats. */
  uint64_t refused = 0;
  /** Lost with their host; the user can't know whether it ran. */
  uint64_t failed = 0;

  double inAimPart() const {
    return asked == 0 ? 1.0 : static_cast<double>(inAim) / static_cast<double>(asked);
  }
  double servedPart() const {
    return asked == 0 ? 1.0 : static_cast<double>(inAim + late) / static_cast<double>(asked);
  }
};

/** See LoadOutcome. */
struct LoadResult {
  LoadOutcome all;
  /** From the first event's begin to the last one's end; in the order of LoadDay::zones. */
  std::vector<LoadOutcome> zones;
  /** In the same time; in the order of LoadDay::kinds. */
  std::vector<LoadOutcome> kinds;
  /** Arrivals at the busiest host as a multiple of the mean. */
  double busiestToMean = 1.0;
  /** Part of the flows that were opened at a host of another zone. */
  double otherZonePart = 0.0;
};

/** Plays the day; the same for the same seed. */
LoadResult playDay(const LoadDay& day);

}  // namespace umberhold::load_model
