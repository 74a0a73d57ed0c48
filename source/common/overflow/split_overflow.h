/**
 * @file Whether an opening whose part of a split has no room goes to another part.
 *
 * The load that this answers: the hosts of one part of a split have all they can begin to work on,
 * so that openings wait and are refused, while hosts of another part are idle.
 *
 * It depends on the room of this moment alone: once the part that is due has room again, nothing
 * overflows. The part that was due counts as served (GroupShares), so that it is not owed the flows
 * that went elsewhere and gets no burst of them later.
 *
 * Shares are bounded without a memory of earlier flows: of the openings that could overflow into a
 * part, only so many do that the part gets at most OverflowOptions::maxPart of all flows beyond
 * its weight, in whatever stretch of flows one counts. Calm time saves nothing up, as a token
 * bucket would: the savings of many nodes, spent in one moment, would break the bound for all nodes
 * together.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/base/random.h"
#include "common/overflow/overflow_options.h"

namespace umberhold {

/** The load that this node has brought to a pool, against what it may bring. */
struct PartUse {
  /** Whether the pool's room is known; nothing overflows into a pool of unknown room. */
  bool known = false;
  /** Openings of this node under way at its hosts, and those that wait for it. */
  double openings = 0.0;
  /** Openings of this node that may be under way there. */
  double openingLimit = 0.0;
  /** Requests of this node's callers under way there, also those on open flows. */
  double requests = 0.0;
  /** This node's part of the requests that the hosts work on at once. */
  double slots = 0.0;
};

/** A part of a split. */
struct SplitPart {
  /** Its part of the new flows, 0 to 1. */
  double weight = 0.0;
  PartUse use;
};

/** Of one split at one node. Decision logic without I/O; not thread safe. */
class SplitOverflow {
 public:
  SplitOverflow() = default;
  /** @param random nodes start at different places, so that few flows over many nodes keep to the
   * bound too. */
  SplitOverflow(OverflowOptions options, RandomSource& random)
      : options_(options), start_(options.mode == OverflowMode::kOff ? 0.0 : random.unit()) {}

  /**
   * An opening arrived whose part has no room.
   * @param due index of that part.
   * @return index of the part that takes it; none where it is to wait for its own.
   */
  std::optional<size_t> choose(const std::vector<SplitPart>& parts, size_t due);

  /** @return whether the pool can take an opening more without its own callers having to wait. */
  static bool hasSpareRoom(const PartUse& use);
  /**
   * @param weight of the part that takes them.
   * @return part of the openings due to other parts that may overflow into it, 0 to 1.
   */
  static double passingPart(double maxPart, double weight);

 private:
  OverflowOptions options_;
  double start_ = 0.0;
  /** By part: openings that may overflow into it, in units of one; the whole ones have. */
  std::vector<double> credits_;
};

}  // namespace umberhold
