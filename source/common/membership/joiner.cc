#include "common/membership/joiner.h"

#include <algorithm>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Members per page, so that a page fits into one datagram. */
constexpr size_t kPageMembers = 28;
/** If this many seeds were queried and none has joined, the whole region is starting. */
constexpr size_t kMaxQueriedSeeds = 8;

}  // namespace

JoinReply joinPage(const MemberTable& table, NodeId from) {
  JoinReply reply;
  for (const MemberEntry& entry : table.entries()) {
    if (entry.member.id < from || !isLiveEntry(entry)) {
      continue;
    }
    if (reply.members.size() == kPageMembers) {
      reply.more = true;
      reply.next = entry.member.id;
      break;
    }
    reply.members.push_back(published(entry.member));
  }
  return reply;
}

void Joiner::start(TimePoint now, const std::vector<Endpoint>& seeds) {
  addSeeds(seeds);
  complete_ = seeds_.empty();
  cursor_ = NodeId{};
  if (!complete_) {
    firstSeed_ = context_.random.below(seeds_.size());
    request(now);
  }
}

void Joiner::addSeeds(const std::vector<Endpoint>& seeds) {
  const Endpoint self = context_.table.self().controlEndpoint();
  for (const Endpoint& seed : seeds) {
    if (seed != self && std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end()) {
      seeds_.push_back(seed);
    }
  }
}

void Joiner::tick(TimePoint now) {
  if (complete_ || now < nextRequest_) {
    return;
  }
  if (joiningMemberReplied_ && allSeedsQueried()) {
    complete_ = true;
    return;
  }
  request(now);
}

bool Joiner::allSeedsQueried() const {
  return queriedSeeds_ >= std::min(seeds_.size(), kMaxQueriedSeeds);
}

void Joiner::request(TimePoint now) {
  nextRequest_ = now + context_.options.joinRetry;
  const Member* member =
      cursor_ == NodeId{} ? nullptr : context_.table.pick(context_.random, isTrustedEntry);
  const Endpoint to = member != nullptr ? member->controlEndpoint()
                                        : seeds_[(firstSeed_ + queriedSeeds_) % seeds_.size()];
  queriedSeeds_ += cursor_ == NodeId{} ? 1 : 0;
  context_.sink.send(to, Message{JoinRequest{context_.table.self(), cursor_}});
}

void Joiner::onReply(TimePoint now, const JoinReply& reply, bool fromJoiningMember) {
  if (complete_) {
    return;
  }
  if (reply.more) {
    if (reply.next > cursor_) {
      cursor_ = reply.next;
      request(now);
    }
    return;
  }
  if (!fromJoiningMember) {
    complete_ = true;
    return;
  }
  joiningMemberReplied_ = true;
  cursor_ = NodeId{};
  if (allSeedsQueried()) {
    complete_ = true;
  } else {
    request(now);
  }
}

}  // namespace umberhold
