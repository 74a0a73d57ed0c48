/**
 * @file How many requests a pool's hosts may have under way so that each still ends in time.
 *
 * The load that this answers: more requests than hosts can finish, for longer than their queues
 * last. Queues then only make all requests late: of 7,700 requests in two seconds that asked 108
 * slots for 1.4 times what these finish, 2,700 were answered too late and 2,200 not at all.
 */
#pragma once

#include <cstdint>

#include "common/admission/pool_room.h"
#include "common/base/time.h"

namespace umberhold {

/** When callers of services with a target latency are held back. */
struct RoomLimits {
  /**
   * Of the time within which callers want an answer, the part that one try may take at its host; 0:
   * room is not counted by times, and no service yields to another. A third leaves as
   * much for a try that a host turned away and for the wait in the node.
   *
   * Gained with a third, where 54 hosts had 1.4 times the load that they finish (82 nodes, three
   * times the callers of the usual kind): 0.79 instead of 0.74 of the day's worth. Lost where hosts
   * nearly bear the load (bench/load_model, three and a half times the callers): 0.874 instead of
   * 0.913 of the usual requests in aim.
   */
  double hostTimePart = 0.0;

  bool operator==(const RoomLimits&) const = default;
};

/**
 * By Little's law: what is under way is the rate at which slots finish work times the time that a
 * request may take.
 * @param targetLatency within which callers want an answer.
 * @param work what the hosts need for a request while they are calm.
 * @return requests for each that the hosts work on at once, at least 1; 0: not known.
 */
double requestsPerSlot(const RoomLimits& limits, Duration targetLatency, Duration work);

/** How much of a pool's room is in use, at one node. */
struct RoomUse {
  PoolRoom room;
  /** Requests under way on flows that have had an answer, of services as urgent or more, on average
   * of late: they can't be held back. */
  double onOpenFlows = 0.0;
};

/** @return openings that services may have under way which leave the room to more urgent ones; at
 * least 1. */
uint32_t yieldingOpenings(const RoomUse& use);

/**
 * @param atHosts time that requests take at the hosts of late.
 * @return how long openings keep their order: while the earliest has waited for less, it can be in
 * time; 0: none can.
 */
Duration orderlyWaitOf(Duration targetLatency, Duration atHosts);

}  // namespace umberhold
