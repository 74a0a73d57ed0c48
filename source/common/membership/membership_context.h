/** @file State shared by the parts of the failure detector. */
#pragma once

#include <cstdint>

#include "common/base/random.h"
#include "common/membership/member_table.h"
#include "common/membership/membership_options.h"
#include "common/membership/update_queue.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Owned by FailureDetector, borrowed by its parts. */
struct MembershipContext {
  MembershipOptions options;
  MemberTable table;
  UpdateQueue queue;
  RandomSource& random;
  MessageSink& sink;
  uint32_t lastSequence = 0;

  uint32_t nextSequence() { return ++lastSequence; }
  /** @return the queued updates that are piggybacked on the next message. */
  MemberGossip piggyback() { return queue.take(table, options.piggybackUpdates); }
};

/** @return whether the member is not dead. */
inline bool isLiveEntry(const MemberEntry& entry) {
  return entry.member.state != MemberState::kDead;
}

/** @return whether the member is known and dead. */
inline bool isDeadEntry(const MemberEntry* entry) {
  return entry != nullptr && !isLiveEntry(*entry);
}

/** @return whether the member is expected to answer: neither dead nor suspect in this view. */
inline bool isTrustedEntry(const MemberEntry& entry) {
  return isLiveEntry(entry) && entry.member.state != MemberState::kSuspect;
}

}  // namespace umberhold
