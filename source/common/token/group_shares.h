/**
 * @file Selects the host group of a service for each new flow, in proportion to the groups' shares.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/config/service.h"

namespace umberhold {

/**
 * Smooth weighted round-robin: each new flow adds credit to the groups by their shares, and the
 * group with the highest credit comes first. Not thread safe.
 */
class GroupShares {
 public:
  /** A group that may receive the flow. */
  struct Turn {
    size_t index = 0;
    std::string pool;
  };

  GroupShares() = default;
  /**
   * @param random sets a random start position, so that a few flows spread over many nodes are
   * split evenly too.
   */
  GroupShares(const std::vector<HostGroup>& groups, RandomSource& random);

  /** @return the pool that the next flow would go to first; nullptr if no group has a share. */
  const std::string* next() const;
  /**
   * Starts the selection for a new flow.
   * @return the groups that have a share, highest credit first.
   */
  std::vector<Turn> begin();
  /** @return the index in pools() of the pool if it has a share; nothing otherwise. */
  std::optional<size_t> indexOf(const std::string& pool) const;
  /**
   * Charges a new flow to the group whose turn it is, whether or not that group provides a host.
   */
  void takeTurn() { onPlaced(begin().front()); }
  /** Charges the flow to a group. */
  void onPlaced(const Turn& turn) { groups_.at(turn.index).credit -= 1.0; }
  const std::vector<std::string>& pools() const { return pools_; }
  /** @return the fraction of new flows for the group at this index of pools(), 0 to 1. */
  double fractionOf(size_t index) const { return groups_.at(index).fraction; }

 private:
  struct Group {
    /** Fraction of the new flows. */
    double fraction = 0.0;
    /** Credit of the group, in flows. */
    double credit = 0.0;
  };

  std::vector<Group> groups_;
  std::vector<std::string> pools_;
};

}  // namespace umberhold
