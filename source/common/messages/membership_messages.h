/** @file Messages of the failure detector (after SWIM: Das, Gupta, Motivala, 2002). */
#pragma once

#include <cstdint>
#include <vector>

#include "common/base/endpoint.h"
#include "common/messages/member.h"

namespace umberhold {

/** A change of a member that the receiver is expected to know the address of. */
struct MemberUpdate {
  NodeId id;
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  bool operator==(const MemberUpdate&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(id, incarnation, state);
  }
};

/** Recent changes; rides on probes and answers, and is sent alone where a change is urgent. */
struct MemberGossip {
  std::vector<MemberUpdate> updates;
  /** Members that are new, with their addresses. */
  std::vector<Member> joined;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(updates, joined);
  }
};

/** Asks whether the receiver is alive. */
struct Ping {
  uint32_t sequence = 0;
  MemberGossip gossip;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, gossip);
  }
};

/** Answers a Ping, or a PingRequest once its target has answered. */
struct PingAck {
  uint32_t sequence = 0;
  /** The member that is alive; not the sender where the probe was indirect. */
  NodeId subject;
  MemberGossip gossip;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, subject, gossip);
  }
};

/** Asks the receiver to probe another member on the sender's behalf. */
struct PingRequest {
  uint32_t sequence = 0;
  NodeId target;
  Endpoint targetEndpoint;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, target, targetEndpoint);
  }
};

/** Answers a PingRequest whose target did not answer: the requester itself is reachable, the target
 * is not. */
struct PingNack {
  uint32_t sequence = 0;
  NodeId subject;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, subject);
  }
};

/** Introduces the sender and asks for the members with an id of at least `from`. */
struct JoinRequest {
  Member sender;
  NodeId from;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sender, from);
  }
};

/** Members that the sender knows, by rising id; answers a JoinRequest or a MemberQuery. */
struct JoinReply {
  std::vector<Member> members;
  /** Whether this is a page of the list, to be continued from `next`; otherwise the list has ended.
   */
  bool more = false;
  NodeId next;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(members, more, next);
  }
};

/** Digest of the sender's living members; the receiver answers where its own differs. */
struct MemberDigest {
  uint64_t total = 0;
  /** Digest per bucket of ids; empty in the first, cheap round. */
  std::vector<uint32_t> buckets;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(total, buckets);
  }
};

/** What the sender knows of the members in the buckets that differ. */
struct MemberDigestReply {
  std::vector<MemberUpdate> updates;
  /** Whether the receiver is to answer with what it knows of the same buckets. */
  bool wantsReply = false;
  std::vector<uint32_t> buckets;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(updates, wantsReply, buckets);
  }
};

/** Asks for the addresses of members that the sender knows by id only. */
struct MemberQuery {
  std::vector<NodeId> ids;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(ids);
  }
};

}  // namespace umberhold
