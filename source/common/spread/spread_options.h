/** @file Periods and sizes of the configuration spread. */
#pragma once

#include <cstddef>

#include "common/base/byte_budget.h"
#include "common/base/time.h"

namespace umberhold {

/** Defaults fit regions of 2 to 2,000 members; see docs/decisions on the spread. */
struct SpreadOptions {
  /** Random members that a new record is pushed to, or announced to. */
  size_t fanout = 4;
  /** Records up to this size are pushed whole; larger ones are announced and fetched. */
  size_t maxPushBytes = 0;
  /** How long a fetch of an announced record may take before another announcer is asked. */
  Duration fetchTimeout = std::chrono::milliseconds(100);
  /** How often the total is compared with a random member's. */
  Duration digestPeriod = std::chrono::seconds(1);
  /** The same while the last comparison differed. */
  Duration healingPeriod = std::chrono::milliseconds(200);
  /** The same while this node has not caught up, and the last comparison differed. */
  Duration transferPeriod = std::chrono::milliseconds(20);
  /** How often a contact compares with contacts of other regions, and with how many of them. */
  Duration contactPeriod = std::chrono::seconds(2);
  size_t contactsCompared = 2;
  /** How many contacts of a region carry one change to one other region. */
  size_t forwarders = 2;
  /** Changes handed in at once beyond which nothing is pushed: the comparisons carry it. */
  size_t rumorLimit = 64;
  /**
   * What a node that has caught up spends on feeding nodes that start; without budget it leaves
   * their comparisons unanswered and they turn to other members. Nodes that start feed each other
   * without limit during startTime, for which the limits of control traffic leave a node out.
   */
  ByteBudgetOptions transferBudget{800, 1024};
  Duration startTime = std::chrono::seconds(30);
  /** The settled members of a region together may spend a copy of all records in this time, also
   * where that is more than the budget of each. */
  Duration fullCopyTime = std::chrono::seconds(3);
};

}  // namespace umberhold
