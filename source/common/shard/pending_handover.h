/** @file Roles of a node for a shard, and the state that a leaving node still has to hand over. */
#pragma once

#include <cstdint>
#include <string_view>

#include "common/base/strong_id.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** Role of a node for a shard, apart from keeping a replica of it. */
enum class ShardRole : uint8_t { kNone, kAcquiring, kOwner, kReleased };

/** @return the snake_case name of a role. */
std::string_view toString(ShardRole role);

/** A shard whose state prevents a leaving node from stopping, for the log. */
struct PendingHandover {
  ShardId shard;
  ShardRole role = ShardRole::kNone;
  uint32_t epoch = 0;
  uint64_t flows = 0;
  /** The node released the shard because another owner announced itself. */
  bool fenced = false;
  /** The node that may fetch the state. */
  NodeId successor;
};

}  // namespace umberhold
