/**
 * @file New flows that wait until their exceptions are known to the replica.
 *
 * A flow that its owner placed elsewhere than the base table says, and whose record has not reached
 * the replica, is led to the base's host by whoever takes the shard over. So where the replica has
 * not acknowledged anything just now and may be cut off, the flow's first packet waits for the
 * acknowledgement. No I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/shard/hold_queue.h"

namespace umberhold {

/** Not thread safe. */
class UnacknowledgedFlows {
 public:
  /** Flows that wait at most; further ones go on at once. */
  static constexpr size_t kMaximumFlows = 256;
  /** A replica that needs longer for a record is cut off or has no budget. */
  static constexpr Duration kPatience = std::chrono::milliseconds(250);

  bool isFull() const { return flows_.size() >= kMaximumFlows; }
  bool isEmpty() const { return flows_.empty(); }
  bool contains(FlowHash flow) const { return flows_.contains(flow); }
  /** @param sequence of its record in the replication log. */
  void add(TimePoint now, FlowHash flow, uint32_t sequence, std::string_view bytes,
           PacketSource source);
  /** A copy of a packet that waits: the latest is kept. */
  void hold(FlowHash flow, std::string_view bytes, PacketSource source);

  /** @param first sequence of the oldest record that is not acknowledged. @return packets whose
   * records are; they wait no more. */
  std::vector<HoldQueue::Packet> takeAcknowledged(uint32_t first);
  /** A flow that has waited for too long. */
  struct Overdue {
    FlowHash flow;
    HoldQueue::Packet packet;
  };
  std::vector<Overdue> takeOverdue(TimePoint now);
  /** @return all packets, whatever became of their records. */
  std::vector<HoldQueue::Packet> takeAll();

 private:
  struct Waiting {
    TimePoint since{};
    uint32_t sequence = 0;
    HoldQueue::Packet packet;
  };

  std::unordered_map<FlowHash, Waiting> flows_;
};

}  // namespace umberhold
