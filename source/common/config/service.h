/**
 * @file The objects that operators create: services with their hosts, and policies.
 *
 * The platform's store keeps them as JSON (platform/object_json.h); peers pass them on as msgpack
 * (config/record.h). One service object carries its hosts, so that one conditional update changes
 * both.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"

namespace umberhold {

/** Inner protocol of a service. Values are the IP protocol numbers. */
enum class TransportProtocol : uint8_t { kTcp = 6, kUdp = 17 };

/** What the operator wants of a host. */
enum class HostState : uint8_t {
  kActive = 0,
  /** Receives no new flow; keeps its established ones until they end or until drainDeadline. */
  kDraining = 1,
};

/** One back end of a service. */
struct HostSpec {
  std::string name;
  /** Where packets for the host are sent (GUE variant 1 over UDP). */
  Endpoint endpoint;
  /** HTTP endpoint of GET /health and GET /load; port 0 where the host has none. */
  Endpoint probe;
  std::string zone;
  HostState state = HostState::kActive;
  /** When a draining host's remaining flows may be cut; 0 for never. */
  UnixSeconds drainDeadline = 0;
  /** Open connections that the host bears, over all owners. */
  uint32_t connectionLimit = 2000;
  /** Operator's static weight that policies see; 100 is usual. */
  uint32_t weight = 100;
  /**
   * Identity of this run of the host, for packet formats that carry it (packet/packet_format.h); a
   * host that starts again has another. 0: the host has none.
   */
  uint64_t incarnation = 0;
  /** How much longer it was cold when it last said so, milliseconds. */
  uint32_t coldMilliseconds = 0;
  /** Requests that it works on at once; 0: not known. */
  uint32_t slots = 0;
  /**
   * When this life of the host began, Unix milliseconds by the host's own clock; 0: not told. A
   * host that starts again under its name and incarnation has a greater one (token/host_life.h).
   */
  uint64_t startedAtMilliseconds = 0;

  bool operator==(const HostSpec&) const = default;

  /** Fields at the end that nodes of an earlier release leave out. */
  static constexpr uint32_t kOptionalFields = 1;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(name, endpoint, probe, zone, state, drainDeadline, connectionLimit, weight, incarnation,
            coldMilliseconds, slots, startedAtMilliseconds);
  }
};

/** What hosts bear for a while after their start. */
struct ColdLimit {
  /** 0: no limit is known. */
  double requestsPerSecond = 0.0;
  /** How long a host is cold after its start. */
  uint32_t startMilliseconds = 0;

  bool operator==(const ColdLimit&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(requestsPerSecond, startMilliseconds);
  }
};

/** Hosts that several services share: each names the pool in its groups. */
struct HostPool {
  std::string name;
  std::vector<HostSpec> hosts;
  ColdLimit cold{};

  bool operator==(const HostPool&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(name, hosts, cold);
  }
};

/** A part of a service's new flows that goes to the hosts of one pool. */
struct HostGroup {
  /** Name of a HostPool. */
  std::string pool;
  /** Share of the new flows, in proportion to the sum over the service's groups; 0 for none. */
  uint32_t share = 1;

  bool operator==(const HostGroup&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(pool, share);
  }
};

/** A service: a virtual address and port, its hosts and how new flows are spread over them. */
struct Service {
  std::string name;
  /** Home region; the owners of its flows are nodes of this region. */
  std::string region;
  /** Virtual address, host byte order. */
  uint32_t address = 0;
  uint16_t port = 0;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** Name of a Policy; empty for equal weights. */
  std::string policy;
  /** A flow without a packet for this long is forgotten. */
  uint32_t idleTimeoutSeconds = 86400;
  /** Shards of the flow space, each with one owner node; 1 to 64. */
  uint16_t shardCount = 3;
  std::vector<HostSpec> hosts;
  /**
   * Pools whose hosts serve new flows, by share; where there are any, `hosts` is empty. For the
   * strategy "token" (flow/token_director.h) only.
   */
  std::vector<HostGroup> groups;
  /**
   * Callers may send a request of this service again: a flow whose host stays silent is refused, so
   * that they do it early. For the strategy "token" only.
   */
  bool repeatable = false;
  /** Whose openings go first where some have to wait: 0 comes before 1. For the strategy "token"
   * only. */
  uint32_t priority = 1;
  /** Callers give a request up after so long; 0: not known. For the strategy "token" only. */
  uint32_t requestTimeoutMilliseconds = 0;
  /** Callers want an answer within so long; 0: not known. For the strategy "token" only. */
  uint32_t targetLatencyMilliseconds = 0;

  bool operator==(const Service&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(name, region, address, port, protocol, policy, idleTimeoutSeconds, shardCount, hosts,
            groups, repeatable, priority, requestTimeoutMilliseconds, targetLatencyMilliseconds);
  }
};

/** A short Lua program: weigh(host) and admit(service). See policy/policy_engine.h. */
struct Policy {
  std::string name;
  std::string source;

  bool operator==(const Policy&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(name, source);
  }
};

}  // namespace umberhold
