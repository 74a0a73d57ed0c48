/** @file The replica's side of replication: a copy of an owner's state, kept current by its log. */
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
  /** Takes a batch of the owner's log. @return what to answer. */
  ReplicaAck onAppend(TimePoint now, NodeId sender, const ReplicaAppend& batch);
  /** Takes a chunk of the owner's snapshot. @return what to answer, nothing for an outdated one. */
  std::optional<SnapshotAck> onChunk(TimePoint now, NodeId sender, const SnapshotChunk& chunk);

  /** @return whether the copy can be taken over. */
  bool synchronised() const { return synchronised_; }
  /** @return whether the owner feeds another replica by now. */
  bool outdated() const { return outdated_; }
  void setOutdated() { outdated_ = true; }
  uint32_t epoch() const { return epoch_; }
  uint32_t nextSequence() const { return nextSequence_; }
  NodeId owner() const { return owner_; }
  TimePoint lastOwnerMessage() const { return lastOwnerMessage_; }
  ShardContent content() const;
  /** Forgets what names a host that no longer runs. */
  void retainHosts(const std::function<bool(HostId)>& runs);
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
  /** The snapshot that is arriving. */
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
