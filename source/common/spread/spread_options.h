/** @file Periods and limits of configuration distribution. */
#pragma once

#include <cstddef>

#include "common/base/byte_budget.h"
#include "common/base/time.h"

namespace umberhold {

/** The defaults fit regions of 2 to 2,000 members; see docs/decisions on the spread. */
struct SpreadOptions {
  /** Number of random members that a new record is pushed or announced to. */
  size_t fanout = 4;
  /** Records up to this payload size are pushed; larger ones are announced and fetched. */
  size_t maxPushBytes = 0;
  /** Time after which a fetch of an announced record is retried. */
  Duration fetchTimeout = std::chrono::milliseconds(100);
  /** Interval of the comparisons with a random member. */
  Duration digestPeriod = std::chrono::seconds(1);
  /** The same while the last comparison differed. */
  Duration healingPeriod = std::chrono::milliseconds(200);
  /** The same while the last comparison differed and this node has not caught up. */
  Duration transferPeriod = std::chrono::milliseconds(20);
  /** Interval of a contact's comparisons with contacts of other regions, and the number of regions
   * compared with each time. */
  Duration contactPeriod = std::chrono::seconds(2);
  size_t contactsCompared = 2;
  /** Number of contacts of a region that send one change to one other region. */
  size_t forwarders = 2;
  /** If more changes than this are published at once, none is sent as a rumor; the comparisons
   * transfer them. */
  size_t rumorLimit = 64;
  /**
   * Budget of a caught-up node for transfers to starting nodes. Once it is exhausted, the node does
   * not answer their comparisons, and they compare with other members. Starting nodes transfer to
   * each other without limit during startTime, for which a node is exempt from the limits of
   * control traffic.
   */
  ByteBudgetOptions transferBudget{800, 1024};
  Duration startTime = std::chrono::seconds(30);
  /** Time in which the caught-up members of a region together may transfer one copy of all records,
   * even if this exceeds the budget of each. */
  Duration fullCopyTime = std::chrono::seconds(3);
};

}  // namespace umberhold
