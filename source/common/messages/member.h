/** @file The membership record of a node. */
#pragma once

#include <cstdint>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"

namespace umberhold {

/** State of a member. Within one incarnation, an update with a higher value overrides a lower one.
 */
enum class MemberState : uint8_t {
  /** Running, but still fetching the configuration; it owns no shards and accepts no packets. */
  kJoining = 0,
  kAlive = 1,
  /** Did not answer its probes; still used until the suspicion ends. */
  kSuspect = 2,
  /** In a planned shutdown: acquires no new shards, still relays packets and answers hand-over
   * requests. */
  kLeaving = 3,
  kDead = 4,
};

/** Last known state of one member of the region. */
struct Member {
  NodeId id;
  /** Start time of the process in Unix milliseconds, incremented to refute a suspicion. */
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  RegionId region;
  ZoneId zone;
  /** IPv4 address of the node, host byte order; the ports below belong to it. */
  uint32_t address = 0;
  /** UDP port for messages between nodes (wire/envelope.h). */
  uint16_t controlPort = 0;
  /** UDP port for packets relayed by other nodes (GUE variant 1). */
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
