/**
 * @file Membership of a region: SWIM with incarnations, deaths confirmed by indirect probes, pushed
 * gossip and anti-entropy.
 *
 * See docs/decisions on membership for the differences from the published protocol and the reasons.
 */
#pragma once

#include <vector>

#include "common/membership/joiner.h"
#include "common/membership/member_sync.h"
#include "common/membership/membership_context.h"
#include "common/membership/membership_view.h"
#include "common/membership/probe_helper.h"
#include "common/membership/prober.h"

namespace umberhold {

/** One node's view of its region. No I/O; not thread safe. */
class FailureDetector : public MembershipView {
 public:
  /** @param self this node; kJoining if it has not yet caught up. The references must outlive this.
   */
  FailureDetector(const MembershipOptions& options, const Member& self, RandomSource& random,
                  MessageSink& sink);

  void addObserver(MembershipObserver* observer) { observers_.push_back(observer); }

  /** Starts joining. @param seeds control endpoints of some members. */
  void start(TimePoint now, const std::vector<Endpoint>& seeds);
  /** Runs probes, timeouts and periodic work that are due; call at least every 100 ms. */
  void tick(TimePoint now);
  /** Adds control endpoints from the platform's machine list at which members may run. */
  void setMachineList(const std::vector<Endpoint>& machines);
  /** Changes the state of this node from kJoining to kAlive. */
  void announceReady(TimePoint now);
  /** Begins a planned shutdown: changes the state of this node to kLeaving. */
  void announceLeaving(TimePoint now);
  /** Completes a planned shutdown: this node announces its own state kDead. Call once, before the
   * process ends. */
  void announceLeft(TimePoint now);

  void handle(TimePoint now, const Endpoint& from, NodeId sender, const Ping& ping);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const PingAck& ack);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const PingRequest& request);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const PingNack& nack);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const MemberGossip& gossip);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const JoinRequest& request);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const JoinReply& reply);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const MemberDigest& digest);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const MemberDigestReply& reply);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const MemberQuery& query);

  /** @return whether the member list has been fetched, or there is no node to fetch it from. */
  bool joined() const { return joiner_.complete(); }
  /** @return the current record of this node. */
  const Member& selfMember() const { return context_.table.self(); }
  /** @return how often this process has detected that it was paused. */
  uint64_t pauses() const { return pauses_; }

  NodeId self() const override { return context_.table.self().id; }
  const Member* find(NodeId id) const override;
  void forEach(const std::function<void(const Member&)>& visitor) const override;
  uint64_t revision() const override { return context_.table.revision(); }

 private:
  /** Whether reports of deaths in a message are accepted or verified by a probe first. */
  enum class DeathClaimPolicy : uint8_t { kAccept, kVerify };

  void checkForPause(TimePoint now);
  void recoverFromPause(TimePoint now);
  void mergeGossip(TimePoint now, const Endpoint& from, NodeId sender, const MemberGossip& gossip);
  void mergeUpdates(TimePoint now, const Endpoint& from, const std::vector<MemberUpdate>& updates,
                    DeathClaimPolicy claims);
  void mergeMember(TimePoint now, const Member& member, bool spread);
  void mergeSelf(TimePoint now, const Endpoint& from, const MemberUpdate& update);
  void verifyDeathClaim(TimePoint now, const MemberUpdate& claim);
  void queueAndNotify(NodeId id, bool withAddress);
  void setSelfState(TimePoint now, MemberState state);
  void notify(NodeId id);
  bool isKnownLive(NodeId sender) const;
  MemberGossip gossipFor(NodeId sender);
  void queryUnknownSender(const Endpoint& from, NodeId sender);
  void onRevived(TimePoint now, const Endpoint& from);
  void applyVerdicts(TimePoint now);
  void pushUrgent(TimePoint now);
  void pushTo(size_t members);
  void retryDead();
  void retrySeed();
  void runPeriodic(TimePoint now);

  MembershipContext context_;
  Prober prober_;
  ProbeHelper helper_;
  Joiner joiner_;
  MemberSync sync_;
  std::vector<MembershipObserver*> observers_;
  bool started_ = false;
  bool left_ = false;
  uint64_t pauses_ = 0;
  TimePoint lastCallAt_;
  TimePoint nextDeadRetry_;
  TimePoint nextSeedRetry_;
  TimePoint nextSync_;
  TimePoint lastRevivalSync_;
  TimePoint nextPurge_;
  TimePoint pushRefill_;
  size_t pushTokens_ = 0;
};

}  // namespace umberhold
