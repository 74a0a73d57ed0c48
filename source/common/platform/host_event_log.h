/** @file The latest changes of hosts' registrations, for peers that ask what they have missed. */
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
  /** @param mostEvents further ones push the oldest out. */
  explicit HostEventLog(size_t mostEvents = kMostEvents) : mostEvents_(mostEvents) {}

  /** Everything up to the version is known from elsewhere: the log begins there, or where its last
   * event was, if that is later. */
  void beginAt(uint64_t version);
  /**
   * What changed between two versions is known by its outcome alone, which was added as events: who
   * is at the first can be told what it lacks at the second, who is between them may know of a host
   * that came and went.
   * @param knownUpTo version up to which every change was known.
   */
  void onSkipped(uint64_t knownUpTo, uint64_t version);
  /** The events that were added from another node have a gap. */
  void addGap(VersionGap gap);
  /** @return the gaps among the events after the version. */
  std::vector<VersionGap> gapsAfter(uint64_t version) const;
  void add(HostEvent event);
  /** @return whether all events after the version are known. */
  bool reaches(uint64_t version) const;
  /** @return the events after the version; nothing where the log does not reach back to it. */
  std::optional<std::vector<HostEvent>> since(uint64_t version) const;

 private:
  static constexpr size_t kMostEvents = 4096;
  /** A store that forgets its history makes one each time; followers ask much more often. */
  static constexpr size_t kMostGaps = 16;

  const size_t mostEvents_;
  std::deque<HostEvent> events_;
  std::deque<VersionGap> gaps_;
  /** Events up to this version may be missing; none before the log begins. */
  std::optional<uint64_t> begin_;
};

}  // namespace umberhold
