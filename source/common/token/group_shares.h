/** @file Which of a service's groups of hosts a new flow goes to, so that each gets its share. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/config/service.h"

namespace umberhold {

/** Each new flow is owed to the groups by their shares; the group that is owed most comes first.
 * Not thread safe. */
class GroupShares {
 public:
  /** A group whose turn it may be. */
  struct Turn {
    size_t index = 0;
    std::string pool;
  };

  GroupShares() = default;
  /** @param random nodes start at different places, so that few flows over many nodes are split
   * well too. */
  GroupShares(const std::vector<HostGroup>& groups, RandomSource& random);

  /** @return the pool that a new flow would go to first; nullptr where no group has a share. */
  const std::string* next() const;
  /** A new flow. @return the groups that have a share, in the order of their turn. */
  std::vector<Turn> begin();
  /** @return the pool's place in pools(), if it has a share; none otherwise. */
  std::optional<size_t> indexOf(const std::string& pool) const;
  /** A new flow is left to the group whose turn it is, whether or not it gets a host. */
  void takeTurn() { onPlaced(begin().front()); }
  /** The flow went to a group. */
  void onPlaced(const Turn& turn) { groups_.at(turn.index).credit -= 1.0; }
  const std::vector<std::string>& pools() const { return pools_; }
  /** @return part of the new flows of the group at that place of pools(), 0 to 1. */
  double fractionOf(size_t index) const { return groups_.at(index).fraction; }

 private:
  struct Group {
    /** Part of the new flows. */
    double fraction = 0.0;
    /** Flows owed to the group, in units of one flow. */
    double credit = 0.0;
  };

  std::vector<Group> groups_;
  std::vector<std::string> pools_;
};

}  // namespace umberhold
