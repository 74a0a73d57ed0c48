/** @file Messages of the failure detector (after SWIM: Das, Gupta, Motivala, 2002). */
#pragma once

#include <cstdint>
#include <vector>

#include "common/base/endpoint.h"
#include "common/messages/member.h"

namespace umberhold {

/** State change of a member. Carries no address: the receiver usually has it already. */
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

/** Recent membership changes; piggybacked on probes and acknowledgements, and sent separately if a
 * change is urgent. */
struct MemberGossip {
  std::vector<MemberUpdate> updates;
  /** New members, with their addresses. */
  std::vector<Member> joined;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(updates, joined);
  }
};

/** Direct probe of the receiver. */
struct Ping {
  uint32_t sequence = 0;
  MemberGossip gossip;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, gossip);
  }
};

/** Answer to a Ping, or to a PingRequest whose target has answered. */
struct PingAck {
  uint32_t sequence = 0;
  /** The member that answered; differs from the sender if the probe was indirect. */
  NodeId subject;
  MemberGossip gossip;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, subject, gossip);
  }
};

/** Requests an indirect probe: the receiver probes the target on behalf of the sender. */
struct PingRequest {
  uint32_t sequence = 0;
  NodeId target;
  Endpoint targetEndpoint;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, target, targetEndpoint);
  }
};

/** Answer to a PingRequest whose target did not answer. It shows that the requester is reachable
 * while the target is not. */
struct PingNack {
  uint32_t sequence = 0;
  NodeId subject;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence, subject);
  }
};

/** Announces the sender and requests the members with an id of at least `from`. */
struct JoinRequest {
  Member sender;
  NodeId from;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sender, from);
  }
};

/** Members in the sender's table, in ascending order of ids; answer to a JoinRequest or a
 * MemberQuery. */
struct JoinReply {
  std::vector<Member> members;
  /** Whether the list continues at `next`; false on the last page. */
  bool more = false;
  NodeId next;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(members, more, next);
  }
};

/** Digest of the sender's members that are not dead; the receiver answers if its own differs. */
struct MemberDigest {
  uint64_t total = 0;
  /** Digest per bucket of ids; empty in the first round, which compares only the total. */
  std::vector<uint32_t> buckets;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(total, buckets);
  }
};

/** The sender's states of the members in the buckets that differ. */
struct MemberDigestReply {
  std::vector<MemberUpdate> updates;
  /** Whether the receiver is to answer with its own states of the same buckets. */
  bool wantsReply = false;
  std::vector<uint32_t> buckets;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(updates, wantsReply, buckets);
  }
};

/** Requests the addresses of members of which the sender has only the ids. */
struct MemberQuery {
  std::vector<NodeId> ids;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(ids);
  }
};

}  // namespace umberhold
