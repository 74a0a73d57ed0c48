/**
 * @file Keeps a host under its connection limit although several shards place flows on it.
 *
 * Three ways stand side by side (see docs/decisions/0301-connection-limits.md). With lent permits,
 * every shard starts with an equal part of the limit and spends one permit a flow. A shard that
 * runs short asks another for some. For each pair of shards both keep the total ever lent, which
 * only grows; lost, repeated and overtaken messages are harmless because the larger total wins, and
 * a lender lends again only to a shard that has received everything lent before.
 *
 * Rule for takeovers. Planned: totals and flow counts travel with the shard's state, so the sum of
 * all permits never exceeds the limit. Death of an owner: the next one starts from the last
 * LoadShare and asks the other shards for the totals of their pair; until all have answered it
 * lends nothing. Overshoot is bounded by the flows placed since the last LoadShare and the permits
 * that the dead owner had lent to shards that don't answer.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** How the limit is held. */
enum class ConnectionLimitMode : uint8_t {
  /** Every shard keeps to its equal part. */
  kStaticShares,
  /** Equal parts to begin with; permits are lent. */
  kLentPermits,
  /** Own flows plus what other owners last said; overshoots between messages. */
  kUncoordinated,
};

/** @return the part of the limit that a shard starts with; the parts add up to the limit. */
uint32_t initialPermits(uint32_t limit, uint16_t shard, uint16_t shardCount);

/** The permits of one shard for one host. Not thread safe. */
class PermitAccount {
 public:
  PermitAccount(uint16_t shard, uint16_t shardCount);

  /** Takes totals handed over by the previous owner. */
  void restore(const std::vector<uint64_t>& lent, const std::vector<uint64_t>& borrowed);
  /** Says that the totals are unknown: the account lends nothing until every other shard answered.
   */
  void startRecovery();
  bool recovering() const;
  /** @return whether another shard asked during recovery. */
  bool asked() const { return asked_; }

  /**
   * @return flows that the shard may have on the host; below 0 where a limit was lowered. During
   * recovery half of the first permits at most.
   */
  int64_t permits(uint32_t limit) const;

  /** Lends at most half of what is free. @param flows the shard's flows. @return totals for the
   * grant. */
  PermitGrant onRequest(const PermitRequest& request, uint32_t limit, uint32_t flows);
  /** @return whether the totals grew. */
  bool onGrant(const PermitGrant& grant);

  /** @return total received from the shard. */
  uint64_t borrowedFrom(uint16_t shard) const { return borrowed_[shard]; }
  /** Totals lent to and received from each shard; empty where all are 0. */
  std::vector<uint64_t> lentTotals() const;
  std::vector<uint64_t> borrowedTotals() const;

  /** @return shards whose totals are unknown. */
  const std::vector<bool>& unanswered() const { return unanswered_; }
  /** @return the shard to ask next; moves on round the others. */
  uint16_t nextLender();

 private:
  uint16_t shard_;
  uint16_t next_;
  std::vector<uint64_t> lent_;
  std::vector<uint64_t> borrowed_;
  std::vector<bool> unanswered_;
  bool asked_ = false;
};

/** How far a shard has used a host. */
struct HostUse {
  HostId host;
  /** Connection limit of the host over all shards. */
  uint32_t limit = 0;
  /** Flows of this shard on the host. */
  uint32_t flows = 0;
  /** Flows of all shards on the host, estimated; at the limit it is no use to ask. */
  double allFlows = 0.0;
};

/** Tells when an account should ask for permits, and for how many; one per account. */
class PermitRequester {
 public:
  /** @return the request that is due now, if any. */
  std::optional<PermitRequest> due(TimePoint now, ShardId shard, PermitAccount& account,
                                   const HostUse& use);
  /** Takes note of a grant. @param useful whether it brought permits or ended a question. */
  void onGrant(TimePoint now, bool useful);

 private:
  /** @return the next shard whose totals are unknown; one must be. */
  uint16_t nextUnanswered(const PermitAccount& account);
  void backOff(TimePoint now);
  PermitRequest makeRequest(TimePoint now, ShardId shard, HostId host, const PermitAccount& account,
                            uint16_t lender, uint32_t wanted);

  TimePoint notBefore_{};
  uint32_t requestNumber_ = 0;
  uint16_t recoveryLender_ = 0;
  /** Requests in a row that brought nothing. */
  uint32_t fruitless_ = 0;
};

}  // namespace umberhold
