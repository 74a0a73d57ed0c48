/** @file Lifecycle states of a node. */
#pragma once

#include <cstdint>
#include <string_view>

namespace umberhold {

/** Whether a node accepts packets, and if not, the reason. */
enum class NodeReadiness : uint8_t {
  /** Fetches the member list. */
  kJoining,
  /** Fetches the configuration from its peers or from the store. */
  kCatchingUp,
  kReady,
  /** Planned stop: hands over its shards and relays packets. */
  kLeaving,
  /** The handover is complete; the process may exit. */
  kLeft,
};

/** @return the snake_case name of a state. */
constexpr std::string_view toString(NodeReadiness readiness) {
  switch (readiness) {
    case NodeReadiness::kJoining:
      return "joining";
    case NodeReadiness::kCatchingUp:
      return "catching_up";
    case NodeReadiness::kReady:
      return "ready";
    case NodeReadiness::kLeaving:
      return "leaving";
    case NodeReadiness::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace umberhold
