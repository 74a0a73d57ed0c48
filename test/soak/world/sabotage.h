/**
 * @file Faulty system behaviours that violate a promise, simulated between nodes and the other
 * components, to verify that the checks detect them.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace umberhold::soak {

enum class Sabotage : uint8_t {
  kNone,
  /** Openings are forwarded to a host of another service. */
  kWrongService,
  /** An unrepeatable request is also run by a second host. */
  kRunsTwice,
  /** Packets to hosts are modified. */
  kChangesPackets,
  /** Answers are modified and sealed again, so that only their content shows it. */
  kChangesAnswers,
  /** Openings are forwarded to leaving hosts. */
  kFillsLeavingHosts,
  /** Openings of configured routes are refused, as under an older version. */
  kOldConfiguration,
  /** Open flows are reset. */
  kResetsFlows,
  /** A share of the packets is lost permanently after the last fault. */
  kNeverRecovers,
  /** Requests that hosts reject are run nevertheless, and no packet of one service reaches its
   * hosts. */
  kIgnoresRoom,
  kCount,
};

/** @return the snake_case name of a kind. */
std::string_view toString(Sabotage kind);
/** @return the kind of that name. */
std::optional<Sabotage> sabotageNamed(std::string_view name);

}  // namespace umberhold::soak
