/** @file Periods and sizes of the failure detector. */
#pragma once

#include <cstddef>

#include "common/base/time.h"

namespace umberhold {

/** Defaults fit regions of 2 to 2,000 members; see docs/decisions on membership. */
struct MembershipOptions {
  /** Each period one member is probed. */
  Duration probePeriod = std::chrono::seconds(1);
  /** After the first Ping without an answer: a second one. */
  Duration retryAfter = std::chrono::milliseconds(200);
  /** After the first Ping without an answer: indirect probes. */
  Duration indirectAfter = std::chrono::milliseconds(400);
  /** After the first Ping without an answer: the member is suspect here. */
  Duration suspectAfter = std::chrono::milliseconds(800);
  /** How often a suspect is probed again, directly and indirectly. */
  Duration verifyPeriod = std::chrono::milliseconds(400);
  /** How long a suspect has to answer before it is declared dead. */
  Duration suspicionTime = std::chrono::milliseconds(2200);
  /** How long a helper waits for the target before it answers with a PingNack. */
  Duration helperTimeout = std::chrono::milliseconds(250);
  /** A gap between two calls that tells this process that it was paused. */
  Duration pauseThreshold = std::chrono::seconds(1);
  /** How often one dead member is tried again, so that a healed partition is noticed. */
  Duration deadRetryPeriod = std::chrono::seconds(10);
  /** The same right after such a try has succeeded. */
  Duration deadRetryPeriodAfterRevival = std::chrono::milliseconds(200);
  /** How often one seed or listed machine that is no known member is tried. */
  Duration seedRetryPeriod = std::chrono::seconds(15);
  /** How often the member list is compared with a random member's. */
  Duration syncPeriod = std::chrono::seconds(20);
  /** How long a dead member is remembered. */
  Duration deadRetention = std::chrono::hours(1);
  /** Repetition of an unanswered JoinRequest. */
  Duration joinRetry = std::chrono::milliseconds(500);
  /** Members asked to probe on this node's behalf, each time. */
  size_t helpers = 3;
  /** Helpers that must confirm that they don't reach a member either before it is declared dead. */
  size_t confirmations = 2;
  /** Members that an urgent change is pushed to. */
  size_t fanout = 3;
  /** Urgent pushes that may follow each other at once; one more each second. */
  size_t pushBurst = 4;
  /** Updates that ride on one probe or answer. */
  size_t piggybackUpdates = 6;
  /** Updates in one urgent push. */
  size_t pushUpdates = 40;
  /** Most members that are under verification at once. */
  size_t activeProbes = 16;
};

}  // namespace umberhold
