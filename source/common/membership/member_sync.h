/** @file Anti-entropy of the member list: two nodes compare digests and exchange the differences.
 */
#pragma once

#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** Anti-entropy exchange. Stateless: each answer depends on the message and the table only. */
class MemberSync {
 public:
  explicit MemberSync(MembershipContext& context) : context_(context) {}

  /** Starts an exchange with a random member. */
  void begin();
  /** Starts an exchange with the given node. */
  void begin(const Endpoint& peer);
  /** Answers with bucket digests, or with this node's states of the differing buckets. */
  void onDigest(const Endpoint& from, const MemberDigest& digest);
  /** Answers a reply, which is already merged, with this node's states of the same buckets. */
  void onReply(const Endpoint& from, const MemberDigestReply& reply);

 private:
  void sendBucket(const Endpoint& to, uint32_t bucket, bool wantsReply);

  MembershipContext& context_;
};

}  // namespace umberhold
