/**
 * @file Enforces a host's connection limit across the shards that place flows on it.
 *
 * There are three modes (see docs/decisions/0301-connection-limits.md). With lent permits, every
 * shard starts with an equal part of the limit and uses one permit per flow. A shard that runs
 * short requests permits from another. For each pair of shards, both sides keep the total ever
 * lent, which is monotonic. Lost, duplicated and reordered messages are therefore harmless: the
 * larger total wins. A lender lends again only to a shard that has received everything lent to it
 * before.
 *
 * Takeovers: in a planned handover, totals and flow counts are part of the shard's state, so the
 * sum of all permits never exceeds the limit. When an owner fails, its successor starts from the
 * last LoadShare and requests the pairwise totals from the other shards; it lends nothing until all
 * have answered. The overshoot is bounded by the flows placed since the last LoadShare plus the
 * permits that the failed owner had lent to shards that don't answer.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** How the limit is enforced. */
enum class ConnectionLimitMode : uint8_t {
  /** Every shard uses at most its equal part. */
  kStaticShares,
  /** Shards start with equal parts and lend permits to each other. */
  kLentPermits,
  /** Own flows plus the counts last received from other owners; may overshoot between messages. */
  kUncoordinated,
};

/** @return the part of the limit that a shard starts with; the parts add up to the limit. */
uint32_t initialPermits(uint32_t limit, uint16_t shard, uint16_t shardCount);

/** The permits of one shard for one host. Not thread safe. */
class PermitAccount {
 public:
  PermitAccount(uint16_t shard, uint16_t shardCount);

  /** Restores the totals handed over by the previous owner. */
  void restore(const std::vector<uint64_t>& lent, const std::vector<uint64_t>& borrowed);
  /** Marks all totals as unknown: the account lends nothing until every other shard has answered.
   */
  void startRecovery();
  bool recovering() const;
  /** @return whether a request from another shard has been received. */
  bool requestReceived() const { return requestReceived_; }

  /**
   * @return the number of flows that the shard may have on the host; negative after the limit was
   * lowered. During recovery, at most half of the initial permits.
   */
  int64_t permits(uint32_t limit) const;

  /** Lends at most half of the unused permits. @param flows number of flows of the shard on the
   * host. @return the grant, which carries the totals. */
  PermitGrant onRequest(const PermitRequest& request, uint32_t limit, uint32_t flows);
  /** @return whether the grant added permits. */
  bool onGrant(const PermitGrant& grant);

  /** @return the total ever received from the shard. */
  uint64_t borrowedFrom(uint16_t shard) const { return borrowed_[shard]; }
  /** Totals lent to and received from each shard; empty if all are 0. */
  std::vector<uint64_t> lentTotals() const;
  std::vector<uint64_t> borrowedTotals() const;

  /** @return one flag per shard: whether its totals are unknown. */
  const std::vector<bool>& unanswered() const { return unanswered_; }
  /** @return the shard to request from next; round robin over the other shards. */
  uint16_t nextLender();

 private:
  uint16_t shard_;
  uint16_t next_;
  std::vector<uint64_t> lent_;
  std::vector<uint64_t> borrowed_;
  std::vector<bool> unanswered_;
  bool requestReceived_ = false;
};

/** A shard's use of a host. */
struct HostUse {
  HostId host;
  /** Connection limit of the host over all shards. */
  uint32_t limit = 0;
  /** Flows of this shard on the host. */
  uint32_t flows = 0;
  /** Estimated flows of all shards on the host; no permits are requested when this has reached the
   * limit. */
  double allFlows = 0.0;
};

/** Decides when an account requests permits, and how many; one per account. */
class PermitRequester {
 public:
  /** @return the request to send now, if any. */
  std::optional<PermitRequest> due(TimePoint now, ShardId shard, PermitAccount& account,
                                   const HostUse& use);
  /** Handles a grant. @param effective whether it added permits or answered a recovery request. */
  void onGrant(TimePoint now, bool effective);

 private:
  /** @return the next shard whose totals are unknown; there must be at least one. */
  uint16_t nextUnanswered(const PermitAccount& account);
  void backOff(TimePoint now);
  PermitRequest makeRequest(TimePoint now, ShardId shard, HostId host, const PermitAccount& account,
                            uint16_t lender, uint32_t wanted);

  TimePoint nextRequestAt_{};
  uint32_t requestNumber_ = 0;
  uint16_t recoveryLender_ = 0;
  /** Consecutive requests without an effective grant. */
  uint32_t unsuccessfulRequests_ = 0;
};

}  // namespace umberhold
