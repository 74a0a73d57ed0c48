/** @file Replica side of replication: a copy of an owner's state, updated from its log. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/messages/shard_messages.h"
#include "common/shard/known_flows.h"
#include "common/shard/refusal_memory.h"
#include "common/shard/shard_content.h"
#include "common/shard/snapshot.h"

namespace umberhold {

/** A copy of one shard. Not thread safe. */
class ReplicaCopy {
 public:
  /** Applies a batch of the owner's log. @return the reply. */
  ReplicaAck onAppend(TimePoint now, NodeId sender, const ReplicaAppend& batch);
  /**
   * Accepts a chunk of the owner's snapshot. @return the reply, or nothing for an outdated chunk.
   */
  std::optional<SnapshotAck> onChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk);

  /** @return whether the copy is complete and can be taken over. */
  bool synchronised() const { return synchronised_; }
  /** @return whether the owner now replicates to another node. */
  bool outdated() const { return outdated_; }
  void setOutdated() { outdated_ = true; }
  uint32_t epoch() const { return epoch_; }
  uint32_t nextSequence() const { return nextSequence_; }
  NodeId owner() const { return owner_; }
  TimePoint lastOwnerMessage() const { return lastOwnerMessage_; }
  ShardContent content() const;
  /** Removes base table entries and pinned flows of hosts that are no longer usable. */
  void retainHosts(const std::function<bool(HostId)>& usable);
  void tick(TimePoint now) { refused_.expire(now); }
  size_t pinnedFlows() const { return pinned_.size(); }

 private:
  bool outranks(uint32_t epoch, NodeId sender) const;
  void install(TimePoint now, const ShardContent& content);
  void apply(TimePoint now, const ReplicaAppend& batch);

  NodeId owner_;
  uint32_t epoch_ = 0;
  uint32_t nextSequence_ = 0;
  bool synchronised_ = false;
  bool outdated_ = false;
  TimePoint lastOwnerMessage_{};
  std::vector<BaseHost> base_;
  std::unordered_map<FlowHash, HostId> pinned_;
  RefusalMemory refused_;
  KnownFlowCopy known_;
  /** The snapshot that is being received. */
  struct IncomingSnapshot {
    NodeId owner;
    uint32_t epoch = 0;
    uint32_t attempt = 0;
    SnapshotAssembler assembler;
  };
  std::optional<IncomingSnapshot> incoming_;
  uint32_t installedAttempt_ = 0;
};

}  // namespace umberhold
