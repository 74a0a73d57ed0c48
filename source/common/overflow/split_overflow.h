/**
 * @file Whether an opening whose part of a split has no room overflows to another part.
 *
 * This handles uneven load: the hosts of one part of a split are fully occupied, so that openings
 * are queued and refused, while hosts of another part are idle.
 *
 * Overflow depends only on the current room: once the part that is due has room again, nothing
 * overflows. The part that was due counts as served (GroupShares), so it does not get a burst later
 * to make up for the flows that overflowed.
 *
 * The bound holds for every sequence of consecutive flows: of the openings that could overflow into
 * a part, only a fraction does, so that the part gets at most OverflowOptions::maxPart of all flows
 * beyond its weight. Unlike in a token bucket, no credit accumulates while nothing overflows: the
 * credit of many nodes, spent at the same moment, would exceed the bound over all nodes.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/base/random.h"
#include "common/overflow/overflow_options.h"

namespace umberhold {

/** A node's use of a pool, and its limits there. */
struct PartUse {
  /** Whether the pool's room is known; nothing overflows into a pool whose room is unknown. */
  bool known = false;
  /** Openings of this node under way at the pool's hosts, plus those queued for the pool. */
  double openings = 0.0;
  /** Maximum number of openings of this node under way there. */
  double openingLimit = 0.0;
  /** Requests of this node's callers under way there, including those on open flows. */
  double requests = 0.0;
  /** This node's share of the requests that the hosts process concurrently. */
  double slots = 0.0;
};

/** A part of a split. */
struct SplitPart {
  /** Its fraction of new flows, 0 to 1. */
  double weight = 0.0;
  PartUse use;
};

/** Overflow of one split at one node. Does no I/O; not thread safe. */
class SplitOverflow {
 public:
  SplitOverflow() = default;
  /** @param random source of the initial credit, which differs between nodes, so that the bound
   * also holds for few flows over many nodes. */
  SplitOverflow(OverflowOptions options, RandomSource& random)
      : options_(options),
        initialCredit_(options.mode == OverflowMode::kOff ? 0.0 : random.unit()) {}

  /**
   * Handles an opening whose part has no room.
   * @param due index of that part.
   * @return index of the part that takes it, or nullopt if it must wait for its own part.
   */
  std::optional<size_t> choose(const std::vector<SplitPart>& parts, size_t due);

  /** @return whether the pool can take another opening without making its own callers wait. */
  static bool hasSpareRoom(const PartUse& use);
  /**
   * @param weight weight of the part that takes them.
   * @return fraction of the openings due to other parts that may overflow into it, 0 to 1.
   */
  static double acceptedPart(double maxPart, double weight);

 private:
  OverflowOptions options_;
  double initialCredit_ = 0.0;
  /** Credit of each part, in openings that may overflow into it. */
  std::vector<double> credits_;
};

}  // namespace umberhold
