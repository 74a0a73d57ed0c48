/**
 * @file Openings of flows that their callers do not continue.
 *
 * Only packets from callers pass a node. A caller whose opening is answered goes on within a round
 * trip. One that goes on later repeats the opening: its host is silent. One that never goes on was
 * refused by its host directly, which no packet here shows. Both are noticed here, each opening
 * once.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"

namespace umberhold {

/** An earlier copy of an opening, and its host. */
struct EarlierOpening {
  /** Token of the host; 0 for none. */
  uint32_t token = 0;
  /** The host was already said to have left it unanswered. */
  bool counted = false;
};

/** Remembers the openings of the flows seen last, each until the flow's next packet. Not thread
 * safe. */
class OpeningWatch {
 public:
  /** An opening was placed at the host with the token. */
  void onPlaced(TimePoint now, FlowHash flow, uint32_t token);
  /** @return the earlier copy that was left unanswered. */
  EarlierOpening earlierOf(TimePoint now, FlowHash flow) const;
  /** A later packet of a flow. @return whether it is the first one after the opening. */
  bool onFollowed(FlowHash flow, uint32_t token);
  /** The host has started again: what it left unanswered before says nothing of it. */
  void forgetHost(uint32_t token);
  /** Every packet that had arrived was handled. @return tokens of hosts at which an opening was
   * placed that its caller did not continue; each opening once. */
  std::vector<uint32_t> onCaughtUp(TimePoint now);

 private:
  struct Entry {
    FlowHash flow;
    uint32_t token = 0;
    TimePoint at{};
    bool counted = false;
  };
  /** Where to look once the patience for an opening has ended. */
  struct Due {
    TimePoint at{};
    FlowHash flow;
  };

  Entry& entryOf(FlowHash flow) { return entries_[flow.value % entries_.size()]; }
  const Entry& entryOf(FlowHash flow) const { return entries_[flow.value % entries_.size()]; }

  static constexpr size_t kEntries = 1024;
  std::array<Entry, kEntries> entries_{};
  std::deque<Due> due_;
};

}  // namespace umberhold
