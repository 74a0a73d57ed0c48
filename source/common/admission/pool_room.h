/**
 * @file The room of a pool of hosts: what admission, allotments and overflow say of it to each
 * other.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "common/base/time.h"

namespace umberhold {

/** Requests that may be under way at a pool's hosts so that each still ends in time. */
struct PoolRoom {
  /** Of all nodes together; 0: not known, and nothing is held back. */
  double requests = 0.0;
  /** Part of it that this node may use, 0 to 1. */
  double part = 1.0;

  /** @return requests that this node may have under way. */
  double own() const { return requests * part; }
};

/** Says which part of a pool's room a node may use. */
class RoomParts {
 public:
  virtual ~RoomParts() = default;
  /**
   * @param sendingNodes nodes that send flows to the pool.
   * @return part of the pool's room, above 0 and at most 1.
   */
  virtual double partOf(TimePoint now, const std::string& pool, uint32_t sendingNodes) const = 0;
};

/** Each node may use as much as any other. */
class EqualRoomParts : public RoomParts {
 public:
  double partOf(TimePoint /*now*/, const std::string& /*pool*/,
                uint32_t sendingNodes) const override {
    return 1.0 / std::max(sendingNodes, 1U);
  }
};

}  // namespace umberhold
