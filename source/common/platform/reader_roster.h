/**
 * @file Determines which nodes of a zone read the platform's store on behalf of the others.
 *
 * Nodes are ranked by capacity, then by a hash of their names, so that all nodes with the same
 * membership view compute the same ranking without coordination. One in nodesPerReader nodes, the
 * highest-ranked ones, are readers; the other nodes are distributed over the readers and have an
 * ordered list of further candidates. Different membership views are harmless: they only result in
 * more readers. Pure decision logic without I/O.
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
  /** Address on which it serves other nodes. */
  Endpoint peerAddress;
  /** Available CPU capacity in millicores. */
  uint32_t capacity = 0;

  bool operator==(const RosterNode&) const = default;
};

/** Parameters of the roster. */
struct RosterOptions {
  /** In a zone with fewer nodes every node reads the store itself. */
  size_t minZoneNodes = 3;
  size_t nodesPerReader = 32;
  /** Maximum number of candidates of one node. */
  size_t maxCandidates = 8;
};

/** The roster of a zone as seen by one node. Not thread safe. */
class ReaderRoster {
 public:
  explicit ReaderRoster(RosterNode self, RosterOptions options = {});

  /** Replaces the known nodes. This node and nodes of other zones are ignored. */
  void setNodes(const std::vector<RosterNode>& nodes);

  /**
   * @return whether this node is one of the zone's readers, or the zone has no dedicated readers.
   */
  bool readsItself() const { return readsItself_; }
  /** @return the nodes to poll, the assigned reader first; empty for a reader. */
  const std::vector<RosterNode>& candidates() const { return candidates_; }
  /**
   * @return the readers ranked before this one, which a reader without data polls: one list of the
   * store is enough for all readers of a zone.
   */
  const std::vector<RosterNode>& higherRankedReaders() const { return higherRankedReaders_; }
  /**
   * @return the step at which this node lists the store itself if no reader supplies data: 0 for
   * the readers and for as many nodes ranked after them, 1 for twice as many, 2 for four times as
   * many. The number of nodes of a zone that list the store thus doubles with each step, and they
   * never all list at once.
   */
  uint32_t fallbackStep() const { return fallbackStep_; }

 private:
  const RosterNode self_;
  const RosterOptions options_;
  bool readsItself_ = true;
  std::vector<RosterNode> candidates_;
  std::vector<RosterNode> higherRankedReaders_;
  uint32_t fallbackStep_ = 0;
};

}  // namespace umberhold
