/** @file A node's table of members, with the precedence rules for updates. */
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

/** Number of buckets of the member digest. */
constexpr size_t kMemberBuckets = 64;

/** Result of merging an update of a member. */
enum class MergeOutcome : uint8_t {
  /** The update is not newer than the known state. */
  kStale,
  /** The member is unknown, and the update has no address. */
  kUnknown,
  /** The state of a known member changed. */
  kChanged,
  /** The member was unknown or had another address. */
  kAdded,
};

/** A member with its local bookkeeping. */
struct MemberEntry {
  Member member;
  /** Time of the last state change in this table. */
  TimePoint changedAt;
  /** Died after announcing its departure: it is not probed again. */
  bool left = false;
};

/**
 * Members in ascending order of ids, this node included. Updates take precedence by incarnation,
 * then by state (order of MemberState). kSuspect is local to this node's view and is never sent.
 */
class MemberTable {
 public:
  explicit MemberTable(Member self);

  const Member& self() const;
  const MemberEntry* find(NodeId id) const;
  const std::vector<MemberEntry>& entries() const { return entries_; }

  MergeOutcome merge(TimePoint now, const MemberUpdate& update);
  MergeOutcome merge(TimePoint now, const Member& member);
  /** Overwrites this node's own entry. */
  void setSelf(TimePoint now, uint64_t incarnation, MemberState state);
  /** Sets or clears the suspicion of a member; @return whether its state changed. */
  bool setSuspect(TimePoint now, NodeId id, bool suspect);
  /** Removes members that died before the given time. */
  void purgeDead(TimePoint before);

  /** @return a random other member that satisfies the condition, or nullptr if there is none. */
  const Member* pick(RandomSource& random,
                     const std::function<bool(const MemberEntry&)>& matches) const;
  /** @return the number of members that are not dead, this node included. */
  size_t liveCount() const { return liveCount_; }
  /** @return a number that increases with every change of a member's state or address. */
  uint64_t revision() const { return revision_; }

  /** @return a digest of the members that are not dead. */
  uint64_t digest() const;
  /** @return the digests of the kMemberBuckets buckets. */
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

/** @return the member as it is sent to other nodes: kSuspect becomes kAlive. */
Member published(const Member& member);
/** @return the update of a member as it is sent to other nodes, without the address. */
MemberUpdate updateOf(const Member& member);
/** @return whether an update with that incarnation and state overrides the known member. */
bool overrides(uint64_t incarnation, MemberState state, const Member& known);

}  // namespace umberhold
