/**
 * @file What nodes say to each other of the room of pools that are short of it.
 *
 * The fields are written in the order of visitFields (wire/codec.h).
 */
#pragma once

#include <cstdint>
#include <string>

namespace umberhold {

/** What a node wants of one pool's room. Sent only while the pool is short. */
struct PoolDemand {
  std::string pool;
  /** Requests of this node's callers under way at the pool's hosts, on average of late. */
  uint32_t underWay = 0;
  /** Openings that wait in the node. */
  uint32_t waiting = 0;
  /** Openings refused for want of room since the last report. */
  uint32_t refused = 0;

  bool operator==(const PoolDemand&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(pool, underWay, waiting, refused);
  }
};

/** Part of a pool's room that a node may use for a while: a lease that ends by itself. */
struct RoomAllotment {
  std::string pool;
  /** Millionths of the pool's room. */
  uint32_t millionths = 0;
  /** How much longer it may be used, milliseconds from when it was written. */
  uint32_t remainingMilliseconds = 0;
  /** Rises with each allotment that a holder is given of a pool by one giver. */
  uint64_t version = 0;

  bool operator==(const RoomAllotment&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(pool, millionths, remainingMilliseconds, version);
  }
};

}  // namespace umberhold
