/**
 * @file Packets that arrive at a node that has started and does not know its configuration yet.
 *
 * Where many nodes start together the fabric sends packets to nodes that are not ready, and a
 * packet that is dropped is sent again only after up to 1.6 s. So they wait here for the fraction
 * of a second until the node is ready.
 */
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/packet/packet_parser.h"

namespace umberhold {

/** Bounded: what is too much pushes the oldest out. Not thread safe. */
class HeldPackets {
 public:
  /** Holds a packet; a copy takes the place of the one before it. @return packets pushed out. */
  size_t hold(TimePoint now, const ParsedPacket& packet, std::string_view bytes);
  /** @return the packets in the order of their arrival; nothing is held any more. Those that
   * waited too long are left out: their callers have sent copies, or given up. */
  std::vector<std::string> take(TimePoint now);
  size_t size() const { return packets_.size(); }

  /** At 1,200 bytes of data each: 1.3 MB at most. */
  static constexpr size_t kCapacity = 1024;
  /** A caller gives an opening up after so long, and sends data again within 1.6 s. */
  static constexpr Duration kLongest = std::chrono::milliseconds(1400);

 private:
  struct Held {
    uint64_t key = 0;
    TimePoint at{};
    std::string bytes;
  };

  std::list<Held> packets_;
  /** By flow, kind and sequence number: the same for copies of one packet. */
  std::unordered_map<uint64_t, std::list<Held>::iterator> byKey_;
};

}  // namespace umberhold
