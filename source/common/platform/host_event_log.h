/** @file Log of the latest changes of host registrations, for peers that request a delta. */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "common/messages/peer_messages.h"

namespace umberhold {

/** Keeps a bounded number of events. No I/O, not thread safe. */
class HostEventLog {
 public:
  /** @param maxEvents maximum number of events; beyond it the oldest are dropped. */
  explicit HostEventLog(size_t maxEvents = kMaxEvents) : maxEvents_(maxEvents) {}

  /**
   * Starts the log at the version, because the state up to it is known from another source, or at
   * the last logged event if that is later.
   */
  void beginAt(uint64_t version);
  /**
   * Records that the changes between two versions are known only by their net result, which was
   * added as events. A peer at the first version can be given the delta to the second one. A peer
   * at a version between them cannot: it may hold a host that was added and removed in between.
   * @param knownUpTo version up to which every change was known.
   * @param version version at which the net result holds.
   */
  void onSkipped(uint64_t knownUpTo, uint64_t version);
  /** Adds a gap in the events that were received from another node. */
  void addGap(VersionGap gap);
  /** @return the gaps in the events after the version. */
  std::vector<VersionGap> gapsAfter(uint64_t version) const;
  void add(HostEvent event);
  /** @return whether all events after the version are available. */
  bool reaches(uint64_t version) const;
  /** @return the events after the version; nothing if the log does not reach back to it. */
  std::optional<std::vector<HostEvent>> since(uint64_t version) const;

 private:
  static constexpr size_t kMaxEvents = 4096;
  /**
   * Bounds the gaps: each loss of the store's history adds one, and followers poll much more often.
   */
  static constexpr size_t kMaxGaps = 16;

  const size_t maxEvents_;
  std::deque<HostEvent> events_;
  std::deque<VersionGap> gaps_;
  /** Events up to this version may be missing; nothing before the log starts. */
  std::optional<uint64_t> startVersion_;
};

}  // namespace umberhold
