/** @file Queue of packets that wait for the end of a takeover. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/flow/flow_director.h"

namespace umberhold {

/** A bounded queue of whole packets. Not thread safe. */
class HoldQueue {
 public:
  static constexpr size_t kCapacity = 256;

  struct Packet {
    std::string bytes;
    PacketSource source = PacketSource::kFabric;
  };

  /** Copies the packet. @return false if the queue is full. */
  bool push(std::string_view bytes, PacketSource source) {
    if (packets_.size() >= kCapacity) {
      return false;
    }
    packets_.push_back(Packet{std::string(bytes), source});
    return true;
  }

  /** @return all queued packets, in order; the queue is empty afterwards. */
  std::vector<Packet> takeAll() { return std::exchange(packets_, {}); }
  size_t size() const { return packets_.size(); }

 private:
  std::vector<Packet> packets_;
};

}  // namespace umberhold
