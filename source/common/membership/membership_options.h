/** @file Periods and sizes of the failure detector. */
#pragma once

#include <cstddef>

#include "common/base/time.h"

namespace umberhold {

/** Defaults fit regions of 2 to 2,000 members; see docs/decisions on membership. */
struct MembershipOptions {
  /** Interval between the starts of two probes; each probes one member. */
  Duration probePeriod = std::chrono::seconds(1);
  /** Time from an unanswered first Ping to the second one. */
  Duration retryAfter = std::chrono::milliseconds(200);
  /** Time from an unanswered first Ping to the indirect probes. */
  Duration indirectAfter = std::chrono::milliseconds(400);
  /** Time from an unanswered first Ping until this node suspects the member. */
  Duration suspectAfter = std::chrono::milliseconds(800);
  /** Interval at which a suspect is probed again, directly and indirectly. */
  Duration verifyPeriod = std::chrono::milliseconds(400);
  /** Time that a suspect has to answer before it is declared dead. */
  Duration suspicionTime = std::chrono::milliseconds(2200);
  /** Time that a helper waits for the target before it answers with a PingNack. */
  Duration helperTimeout = std::chrono::milliseconds(250);
  /** A gap between two calls above which this process considers itself to have been paused. */
  Duration pauseThreshold = std::chrono::seconds(1);
  /** Interval at which one dead member is probed again, to detect that a partition has healed. */
  Duration deadRetryPeriod = std::chrono::seconds(10);
  /** The same interval after a dead member has become alive again. */
  Duration deadRetryPeriodAfterRevival = std::chrono::milliseconds(200);
  /** Interval at which one seed or listed machine that is not a known member is probed. */
  Duration seedRetryPeriod = std::chrono::seconds(15);
  /** Interval of the anti-entropy exchanges with a random member. */
  Duration syncPeriod = std::chrono::seconds(20);
  /** Time after which a dead member is removed from the table. */
  Duration deadRetention = std::chrono::hours(1);
  /** Retry interval of an unanswered JoinRequest. */
  Duration joinRetry = std::chrono::milliseconds(500);
  /** Number of members that are sent a PingRequest per round of indirect probes. */
  size_t helpers = 3;
  /** Number of helpers that must report the member as unreachable before it is declared dead. */
  size_t confirmations = 2;
  /** Number of members that an urgent change is pushed to. */
  size_t fanout = 3;
  /** Maximum burst of urgent pushes; one more is allowed each second. */
  size_t pushBurst = 4;
  /** Maximum number of updates piggybacked on one probe or acknowledgement. */
  size_t piggybackUpdates = 6;
  /** Maximum number of updates in one urgent push. */
  size_t pushUpdates = 40;
  /** Maximum number of concurrent probes. */
  size_t activeProbes = 16;
};

}  // namespace umberhold
