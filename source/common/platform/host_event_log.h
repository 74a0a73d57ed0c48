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
  void add(HostEvent event);
  /** @return the events after the version; nothing where the log does not reach back to it. */
  std::optional<std::vector<HostEvent>> since(uint64_t version) const;

 private:
  static constexpr size_t kMostEvents = 4096;

  const size_t mostEvents_;
  std::deque<HostEvent> events_;
  /** Events up to this version may be missing; none before the log begins. */
  std::optional<uint64_t> begin_;
};

}  // namespace umberhold
