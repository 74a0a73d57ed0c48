#include "common/placement/shard_permits.h"

namespace umberhold {

ShardPermits::ShardPermits(ShardId shard, uint16_t shardCount,
                           const std::vector<HostPermits>& inherited)
    : shard_(shard), shardCount_(shardCount), totalsUnknown_(inherited.empty()) {
  for (const HostPermits& permits : inherited) {
    entryOf(permits.host).account.restore(permits.lent, permits.borrowed);
  }
}

PermitAccount ShardPermits::newAccount() const {
  PermitAccount account(shard_.index, shardCount_);
  if (totalsUnknown_) {
    account.startRecovery();
  }
  return account;
}

ShardPermits::Entry& ShardPermits::entryOf(HostId host) {
  const auto found = entries_.find(host);
  if (found != entries_.end()) {
    return found->second;
  }
  return entries_.emplace(host, Entry{newAccount(), {}}).first->second;
}

int64_t ShardPermits::permits(HostId host, uint32_t limit) const {
  const auto found = entries_.find(host);
  return found == entries_.end() ? newAccount().permits(limit)
                                 : found->second.account.permits(limit);
}

std::vector<PermitRequest> ShardPermits::dueRequests(TimePoint now, std::span<const HostUse> uses,
                                                     size_t maxRequests) {
  std::vector<PermitRequest> requests;
  for (size_t visited = 0; visited < uses.size() && requests.size() < maxRequests; ++visited) {
    lastIndex_ = (lastIndex_ + 1) % uses.size();
    const HostUse& use = uses[lastIndex_];
    Entry& entry = entryOf(use.host);
    const auto request = entry.requester.due(now, shard_, entry.account, use);
    if (request.has_value()) {
      requests.push_back(*request);
    }
  }
  return requests;
}

PermitGrant ShardPermits::onRequest(const PermitRequest& request, const HostUse& use) {
  return entryOf(use.host).account.onRequest(request, use.limit, use.flows);
}

void ShardPermits::onGrant(TimePoint now, const PermitGrant& grant) {
  Entry& entry = entryOf(grant.host);
  const bool wasRecovering = entry.account.recovering();
  const bool grew = entry.account.onGrant(grant);
  entry.requester.onGrant(now, grew || wasRecovering);
}

std::vector<HostPermits> ShardPermits::handOver(std::span<const HostUse> uses) const {
  std::vector<HostPermits> permits;
  for (const HostUse& use : uses) {
    HostPermits host{use.host, use.flows, {}, {}};
    const auto found = entries_.find(use.host);
    if (found != entries_.end()) {
      host.lent = found->second.account.lentTotals();
      host.borrowed = found->second.account.borrowedTotals();
    }
    permits.push_back(host);
  }
  return permits;
}

}  // namespace umberhold
