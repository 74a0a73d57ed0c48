/**
 * @file Packets that arrive at a node before what they need: a node that has started knows no
 * configuration yet, and after an outage of the store hosts that live have no entry for a while.
 *
 * A packet that is dropped is sent again only after up to 1.6 s. So it waits here for the fraction
 * of a second until the node is ready, or its host is there.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"
#include "common/flow/flow_director.h"

namespace umberhold {

/** Bounded: what is too much pushes the oldest out. Not thread safe. */
class HeldPackets {
 public:
  /** Holds a packet; a copy takes the place of the one before it. @return packets pushed out. */
  size_t hold(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** @return the packets in the order of their arrival; nothing is held any more. Those that
   * waited too long are left out: their callers have sent copies, or given up. */
  std::vector<std::string> take(TimePoint now);
  /** The same for the packets whose tokens are among these; others are held on. */
  std::vector<std::string> takeByToken(TimePoint now, const std::set<uint32_t>& tokens);
  size_t size() const { return packets_.size(); }

  /** At 1,200 bytes of data each: 1.3 MB at most. */
  static constexpr size_t kCapacity = 1024;
  /** A caller gives an opening up after so long, and sends data again within 1.6 s. */
  static constexpr Duration kMaxHoldTime = std::chrono::milliseconds(1400);

 private:
  struct Held {
    uint64_t key = 0;
    uint32_t token = 0;
    TimePoint at{};
    std::string bytes;
  };

  std::list<Held> packets_;
  /** By flow, kind and sequence number: the same for copies of one packet. */
  std::unordered_map<uint64_t, std::list<Held>::iterator> byKey_;
};

}  // namespace umberhold
