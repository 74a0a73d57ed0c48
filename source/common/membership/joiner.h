/** @file Fetches the member list when a node starts. */
#pragma once

#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** Asks seeds for the first page of members and any members for the rest. */
class Joiner {
 public:
  explicit Joiner(MembershipContext& context) : context_(context) {}

  /** @param seeds control endpoints; this node's own is left out. */
  void start(TimePoint now, const std::vector<Endpoint>& seeds);
  /** Adds seeds that were learned later. */
  void addSeeds(const std::vector<Endpoint>& seeds);
  void tick(TimePoint now);
  /**
   * Takes a page whose members are already in the table.
   * @param fromJoiningMember the sender still joins: its own list may hold little more than itself.
   */
  void onReply(TimePoint now, const JoinReply& reply, bool fromJoiningMember);
  /**
   * @return whether a member that has joined gave the whole list, or everybody who was asked still
   * joins, or there is nobody to ask.
   */
  bool complete() const { return complete_; }
  const std::vector<Endpoint>& seeds() const { return seeds_; }

 private:
  void request(TimePoint now);
  bool allSeedsAsked() const;

  MembershipContext& context_;
  std::vector<Endpoint> seeds_;
  /** Seeds asked so far; they are asked in turn, from a random one on. */
  size_t seedsAsked_ = 0;
  size_t firstSeed_ = 0;
  /** A member that still joins gave its list. */
  bool joiningMemberReplied_ = false;
  NodeId cursor_;
  TimePoint nextRequest_;
  bool complete_ = false;
};

/** @return the members with an id of at least `from`, as one page. */
JoinReply joinPage(const MemberTable& table, NodeId from);

}  // namespace umberhold
