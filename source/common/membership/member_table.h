/** @file The members that a node knows, with the rule which news overrides which. */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/messages/member.h"
#include "common/messages/membership_messages.h"

namespace umberhold {

/** Buckets of the member digest. */
constexpr size_t kMemberBuckets = 64;

/** What came of a piece of news about a member. */
enum class MergeOutcome : uint8_t {
  /** Older than, or the same as, what is known. */
  kStale,
  /** The member is unknown, and the news had no address. */
  kUnknown,
  /** The member was known and is changed now. */
  kChanged,
  /** The member was unknown, or had another address. */
  kAdded,
};

/** A member with what only this node notes about it. */
struct MemberEntry {
  Member member;
  /** When the state last changed here. */
  TimePoint changedAt;
  /** Died after announcing its leave: not worth another try. */
  bool left = false;
};

/**
 * Members by rising id, this node included. News overrides by incarnation, then by state
 * (MemberState's order). kSuspect is a state of this node's view only and never leaves it.
 */
class MemberTable {
 public:
  explicit MemberTable(Member self);

  const Member& self() const;
  const MemberEntry* find(NodeId id) const;
  const std::vector<MemberEntry>& entries() const { return entries_; }

  MergeOutcome merge(TimePoint now, const MemberUpdate& update);
  MergeOutcome merge(TimePoint now, const Member& member);
  /** Changes this node's own entry, whatever was known. */
  void setSelf(TimePoint now, uint64_t incarnation, MemberState state);
  /** Sets or clears the suspicion of a member; @return whether anything changed. */
  bool setSuspect(TimePoint now, NodeId id, bool suspect);
  /** Removes members that died before the instant. */
  void purgeDead(TimePoint before);

  /** @return a random other member that satisfies the condition, or nullptr where there is none. */
  const Member* pick(RandomSource& random,
                     const std::function<bool(const MemberEntry&)>& matches) const;
  /** @return the number of members that are not dead, this node included. */
  size_t liveCount() const { return liveCount_; }
  uint64_t revision() const { return revision_; }

  /** @return a digest of the living members. */
  uint64_t digest() const;
  /** @return digests per bucket, kMemberBuckets of them. */
  std::vector<uint32_t> bucketDigests() const;
  static size_t bucketOf(NodeId id);

 private:
  MemberEntry* findMutable(NodeId id);
  void change(TimePoint now, MemberEntry& entry, uint64_t incarnation, MemberState state);
  void toggleDigest(const Member& member);

  NodeId self_;
  std::vector<MemberEntry> entries_;
  std::array<uint32_t, kMemberBuckets> buckets_{};
  size_t liveCount_ = 0;
  uint64_t revision_ = 0;
};

/** @return the member as it is sent to others: kSuspect becomes kAlive. */
Member published(const Member& member);
/** @return the same without the address. */
MemberUpdate updateOf(const Member& member);
/** @return whether news of that incarnation and state overrides the known member. */
bool overrides(uint64_t incarnation, MemberState state, const Member& known);

}  // namespace umberhold
