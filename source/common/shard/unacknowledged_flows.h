/**
 * @file New flows whose first packets are held until the replica has acknowledged their exceptions.
 *
 * If a flow is placed differently from the base table and its record has not reached the replica, a
 * node that takes over the shard sends the flow to the base table's host. Therefore, if the replica
 * has not acknowledged anything recently and may be partitioned, the flow's first packet is held
 * until the acknowledgement. No I/O.
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

/** The held flows. Not thread safe. */
class UnacknowledgedFlows {
 public:
  /** Maximum number of held flows; further ones are forwarded at once. */
  static constexpr size_t kMaxFlows = 256;
  /** A replica that takes longer to acknowledge a record is partitioned or has no budget. */
  static constexpr Duration kAcknowledgementTimeout = std::chrono::milliseconds(250);

  bool isFull() const { return flows_.size() >= kMaxFlows; }
  bool isEmpty() const { return flows_.empty(); }
  bool contains(FlowHash flow) const { return flows_.contains(flow); }
  /** @param sequence of the flow's record in the replication log. */
  void add(TimePoint now, FlowHash flow, uint32_t sequence, std::string_view bytes,
           PacketSource source);
  /** Replaces the held packet of the flow by a repeated one. */
  void hold(FlowHash flow, std::string_view bytes, PacketSource source);

  /**
   * @param first sequence of the oldest unacknowledged record. @return the packets whose records
   * are acknowledged; they are removed.
   */
  std::vector<HoldQueue::Packet> takeAcknowledged(uint32_t first);
  /** A flow whose acknowledgement is overdue. */
  struct Overdue {
    FlowHash flow;
    HoldQueue::Packet packet;
  };
  std::vector<Overdue> takeOverdue(TimePoint now);
  /** @return all packets, whether or not their records are acknowledged. */
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
