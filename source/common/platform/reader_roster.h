/**
 * @file Which nodes of a zone read the platform's store for the others.
 *
 * Nodes are ranked by capacity, then by a hash of their names, so that all that know the same nodes
 * rank them alike without a word. One in every so many, from the front, reads; the others spread
 * over those and know in which order to ask further ones. Nothing breaks where nodes know
 * different lists: more of them read. Decision logic without I/O.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/endpoint.h"

namespace umberhold {

/** A node that may read the store for others. */
struct RosterNode {
  std::string name;
  std::string zone;
  /** Where other nodes ask it. */
  Endpoint peerAddress;
  /** Thousandths of a processor core that it may use. */
  uint32_t capacity = 0;

  bool operator==(const RosterNode&) const = default;
};

/** Sizes of the rule. */
struct RosterOptions {
  /** In a zone with fewer nodes each reads the store itself. */
  size_t minZoneNodes = 6;
  size_t nodesPerReader = 32;
  /** Nodes that one node asks at most, in turn. */
  size_t maxCandidates = 8;
};

/** Not thread safe. */
class ReaderRoster {
 public:
  explicit ReaderRoster(RosterNode self, RosterOptions options = {});

  /** Replaces what is known of the nodes. This node and those of other zones are passed over. */
  void setNodes(const std::vector<RosterNode>& nodes);

  /** @return whether this node is one of the zone's readers, or the zone has none. */
  bool readsItself() const { return readsItself_; }
  /** @return the nodes to ask, the reader first; empty for a reader. */
  const std::vector<RosterNode>& candidates() const { return candidates_; }
  /** @return the readers ranked before this one, for a reader that has nothing yet: one list of the
   * store serves all readers of a zone. */
  const std::vector<RosterNode>& higherRankedReaders() const { return readersAhead_; }
  /**
   * @return how late this node takes the readers' place where none of them tells anything: 0 for
   * readers and as many nodes behind them, 1 for twice as many, 2 for four times as many. A zone's
   * nodes that list the store themselves so double with each step, and never come all at once.
   */
  uint32_t fallbackStep() const { return standInStep_; }

 private:
  const RosterNode self_;
  const RosterOptions options_;
  bool readsItself_ = true;
  std::vector<RosterNode> candidates_;
  std::vector<RosterNode> readersAhead_;
  uint32_t standInStep_ = 0;
};

}  // namespace umberhold
