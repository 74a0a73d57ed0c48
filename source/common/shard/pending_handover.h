/** @file What a node is to a shard, and what a leaving node still has to hand over. */
#pragma once

#include <cstdint>
#include <string_view>

#include "common/base/strong_id.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

/** What a node is to a shard, apart from keeping a replica of it. */
enum class ShardRole : uint8_t { kNone, kAcquiring, kOwner, kReleased };

/** @return the snake_case name of a role. */
std::string_view toString(ShardRole role);

/** A shard whose state keeps a leaving node from its end, for the log. */
struct PendingHandover {
  ShardId shard;
  ShardRole role = ShardRole::kNone;
  uint32_t epoch = 0;
  uint64_t flows = 0;
  /** The node gave the shard up since it heard of another owner. */
  bool fenced = false;
  /** Who may ask for the state. */
  NodeId successor;
};

}  // namespace umberhold
