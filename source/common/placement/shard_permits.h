/** @file The permits of one owned shard for all hosts of its service; see connection_limit.h. */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"
#include "common/placement/connection_limit.h"

namespace umberhold {

/** Not thread safe. */
class ShardPermits {
 public:
  /** @param inherited totals handed over; if empty, the totals are unknown and are recovered from
   * the other shards. */
  ShardPermits(ShardId shard, uint16_t shardCount, const std::vector<HostPermits>& inherited);

  /** @return the number of flows that the shard may have on the host. */
  int64_t permits(HostId host, uint32_t limit) const;

  /** @return the requests that are due: at most one per host and `maxRequests` in total, round
   * robin over the hosts. */
  std::vector<PermitRequest> dueRequests(TimePoint now, std::span<const HostUse> uses,
                                         size_t maxRequests);
  PermitGrant onRequest(const PermitRequest& request, const HostUse& use);
  void onGrant(TimePoint now, const PermitGrant& grant);

  /** @return flows and totals of the hosts for the handover snapshot. */
  std::vector<HostPermits> handOver(std::span<const HostUse> uses) const;

 private:
  struct Entry {
    PermitAccount account;
    PermitRequester requester;
  };

  PermitAccount newAccount() const;
  Entry& entryOf(HostId host);

  ShardId shard_;
  uint16_t shardCount_;
  /** Whether the totals of hosts without an entry are unknown. */
  bool totalsUnknown_;
  std::unordered_map<HostId, Entry> entries_;
  /** Index of the host that was checked last. */
  size_t lastIndex_ = 0;
};

}  // namespace umberhold
