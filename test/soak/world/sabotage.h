/**
 * @file Ways in which a broken system would break a promise, played on the way between nodes and
 * the others: a check that no such system fails is no check.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace umberhold::soak {

enum class Sabotage : uint8_t {
  kNone,
  /** Openings are handed to a host of another service. */
  kWrongService,
  /** A request that may run once only is run by a second host too. */
  kRunsTwice,
  /** Packets for hosts are changed. */
  kChangesPackets,
  /** Answers are changed, in a form that a caller can't tell from its host's. */
  kChangesAnswers,
  /** Openings are handed to hosts that leave. */
  kFillsLeavingHosts,
  /** Openings of routes that the node knows are refused, as an older version would. */
  kOldConfiguration,
  /** Open flows are reset. */
  kResetsFlows,
  /** A part of the packets is lost for good after the last fault. */
  kNeverRecovers,
  /** Requests that hosts turn away are run nevertheless, and nothing of one service reaches its
   * hosts. */
  kIgnoresRoom,
  kCount,
};

/** @return the snake_case name of a kind. */
std::string_view toString(Sabotage kind);
/** @return the kind of that name. */
std::optional<Sabotage> sabotageNamed(std::string_view name);

}  // namespace umberhold::soak
