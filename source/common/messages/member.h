/** @file What one node knows about another. */
#pragma once

#include <cstdint>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"

namespace umberhold {

/** Liveness of a member, in the order in which an update of one incarnation overrides another. */
enum class MemberState : uint8_t {
  /** Running, but it still takes over configuration; it owns nothing and takes no packets. */
  kJoining = 0,
  kAlive = 1,
  /** Missed its probes; still used until the suspicion ends. */
  kSuspect = 2,
  /** On a planned stop: owns nothing new, still relays and answers hand-over requests. */
  kLeaving = 3,
  kDead = 4,
};

/** One member of the region, as last heard. */
struct Member {
  NodeId id;
  /** Start time of the process in Unix milliseconds, raised to refute a suspicion. */
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  RegionId region;
  ZoneId zone;
  /** IPv4 address of the node, host byte order; the ports below are on it. */
  uint32_t address = 0;
  /** Node-to-node messages (wire/envelope.h). */
  uint16_t controlPort = 0;
  /** Packets that other nodes relay (GUE variant 1). */
  uint16_t relayPort = 0;

  bool operator==(const Member&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(id, incarnation, state, region, zone, address, controlPort, relayPort);
  }

  Endpoint controlEndpoint() const { return Endpoint{address, controlPort}; }
  Endpoint relayEndpoint() const { return Endpoint{address, relayPort}; }
};

}  // namespace umberhold
