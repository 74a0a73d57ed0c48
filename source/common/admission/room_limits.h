/**
 * @file How many requests a pool's hosts may have under way for each to complete in time.
 *
 * This handles sustained overload: more requests arrive than hosts can complete, for longer than
 * queues can absorb. Queues then only make all requests late: of 7,700 requests in two seconds,
 * at 1.4 times the throughput of 108 slots, 2,700 were answered too late and 2,200 not at all.
 */
#pragma once

#include <cstdint>

#include "common/admission/pool_room.h"
#include "common/base/time.h"

namespace umberhold {

/** When openings of services with a target latency are delayed. */
struct RoomLimits {
  /**
   * Fraction of the target latency that one attempt may take at its host; 0: room is not limited by
   * latency, and no service yields to another. One third leaves as much for an attempt that a host
   * rejected and for the wait in the node.
   *
   * Benefit of one third with 54 hosts at 1.4 times their throughput (82 nodes, three times the
   * callers of the usual service): 0.79 instead of 0.74 of the day's value. Cost where hosts can
   * almost carry the load (bench/load_model, three and a half times the callers): 0.874 instead of
   * 0.913 of the usual requests met their target.
   */
  double hostTimePart = 0.0;

  bool operator==(const RoomLimits&) const = default;
};

/**
 * By Little's law, the number of requests under way is the rate at which slots complete work times
 * the time that a request may take.
 * @param targetLatency time within which callers want an answer.
 * @param serviceTime time that hosts need for a request when they are not overloaded.
 * @return maximum number of requests under way per slot, at least 1; 0: not known.
 */
double requestsPerSlot(const RoomLimits& limits, Duration targetLatency, Duration serviceTime);

/** A node's use of a pool's room. */
struct RoomUse {
  PoolRoom room;
  /** Recent average of requests under way on flows that have already received an answer, of
   * services at least as urgent; they can't be delayed. */
  double onOpenFlows = 0.0;
};

/** @return maximum number of openings under way for services that yield to more urgent ones; at
 * least 1. */
uint32_t yieldingOpenings(const RoomUse& use);

/**
 * @param atHosts recent time of requests at the hosts.
 * @return how long openings are released in FIFO order: an opening that has waited for less can be
 * in time; 0: none can.
 */
Duration fifoWaitOf(Duration targetLatency, Duration atHosts);

}  // namespace umberhold
