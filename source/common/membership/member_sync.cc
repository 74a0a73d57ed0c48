#include "common/membership/member_sync.h"

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Maximum number of buckets that one exchange reconciles. */
constexpr size_t kBucketsPerExchange = 4;
/** Maximum number of updates in one datagram. */
constexpr size_t kUpdatesPerReply = 70;

}  // namespace

void MemberSync::begin() {
  if (const Member* peer = context_.table.pick(context_.random, isTrustedEntry)) {
    begin(peer->controlEndpoint());
  }
}

void MemberSync::begin(const Endpoint& peer) {
  context_.sink.send(peer, Message{MemberDigest{context_.table.digest(), {}}});
}

void MemberSync::onDigest(const Endpoint& from, const MemberDigest& digest) {
  if (digest.total == context_.table.digest()) {
    return;
  }
  const std::vector<uint32_t> own = context_.table.bucketDigests();
  if (digest.buckets.size() != own.size()) {
    context_.sink.send(from, Message{MemberDigest{context_.table.digest(), own}});
    return;
  }
  size_t sent = 0;
  const size_t first = context_.random.below(own.size());
  for (size_t step = 0; step < own.size() && sent < kBucketsPerExchange; ++step) {
    const size_t bucket = (first + step) % own.size();
    if (own[bucket] != digest.buckets[bucket]) {
      sendBucket(from, static_cast<uint32_t>(bucket), true);
      ++sent;
    }
  }
}

void MemberSync::onReply(const Endpoint& from, const MemberDigestReply& reply) {
  if (!reply.wantsReply || reply.buckets.size() > kBucketsPerExchange) {
    return;
  }
  for (const uint32_t bucket : reply.buckets) {
    sendBucket(from, bucket, false);
  }
}

void MemberSync::sendBucket(const Endpoint& to, uint32_t bucket, bool wantsReply) {
  MemberDigestReply reply;
  reply.wantsReply = wantsReply;
  reply.buckets.push_back(bucket);
  for (const MemberEntry& entry : context_.table.entries()) {
    if (MemberTable::bucketOf(entry.member.id) == bucket &&
        reply.updates.size() < kUpdatesPerReply) {
      reply.updates.push_back(updateOf(entry.member));
    }
  }
  context_.sink.send(to, Message{std::move(reply)});
}

}  // namespace umberhold
