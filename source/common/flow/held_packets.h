/**
 * @file Packets held until a node can forward them: a node that has just started has no
 * configuration yet, and after an outage of the store, entries of live hosts may be missing for a
 * while.
 *
 * A dropped packet is retransmitted only after up to 1.6 s. Therefore it is held here for the
 * fraction of a second until the node is ready or the host's entry is present.
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

/** Bounded: when it is full, the oldest packet is evicted. Not thread safe. */
class HeldPackets {
 public:
  /** Holds a packet; a retransmission replaces the earlier copy. @return number of evicted packets.
   */
  size_t hold(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** Removes all packets. @return them in order of arrival, without those held for more than
   * kMaxHoldTime: their callers have retransmitted them or given up. */
  std::vector<std::string> take(TimePoint now);
  /** The same for packets with one of these tokens; other packets remain held. */
  std::vector<std::string> takeByToken(TimePoint now, const std::set<uint32_t>& tokens);
  size_t size() const { return packets_.size(); }

  /** At 1,200 bytes of data each, at most 1.3 MB. */
  static constexpr size_t kCapacity = 1024;
  /** Callers give up an opening after this time, and retransmit data within 1.6 s. */
  static constexpr Duration kMaxHoldTime = std::chrono::milliseconds(1400);

 private:
  struct Held {
    uint64_t key = 0;
    uint32_t token = 0;
    TimePoint at{};
    std::string bytes;
  };

  std::list<Held> packets_;
  /** By a key of flow, kind and sequence number, which is the same for copies of one packet. */
  std::unordered_map<uint64_t, std::list<Held>::iterator> byKey_;
};

}  // namespace umberhold
