/** @file Fetches the member list at the start of a node. */
#pragma once

#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** Requests the first page of members from seeds and further pages from any members. */
class Joiner {
 public:
  explicit Joiner(MembershipContext& context) : context_(context) {}

  /** @param seeds control endpoints; this node's own is ignored. */
  void start(TimePoint now, const std::vector<Endpoint>& seeds);
  /** Adds further seeds. */
  void addSeeds(const std::vector<Endpoint>& seeds);
  void tick(TimePoint now);
  /**
   * Processes a page whose members are already merged into the table.
   * @param fromJoiningMember whether the sender is still joining, so that its list may be
   * incomplete.
   */
  void onReply(TimePoint now, const JoinReply& reply, bool fromJoiningMember);
  /**
   * @return whether a joined member has sent the complete list, or all seeds (or kMaxQueriedSeeds
   * of them) were queried and only nodes that are still joining answered, or there are no seeds.
   */
  bool complete() const { return complete_; }
  const std::vector<Endpoint>& seeds() const { return seeds_; }

 private:
  void request(TimePoint now);
  bool allSeedsQueried() const;

  MembershipContext& context_;
  std::vector<Endpoint> seeds_;
  /** Number of seeds queried so far, in order from a random first one. */
  size_t queriedSeeds_ = 0;
  size_t firstSeed_ = 0;
  /** Whether a member that is still joining has sent its list. */
  bool joiningMemberReplied_ = false;
  NodeId cursor_;
  TimePoint nextRequest_;
  bool complete_ = false;
};

/** @return the members with an id of at least `from`, as one page. */
JoinReply joinPage(const MemberTable& table, NodeId from);

}  // namespace umberhold
