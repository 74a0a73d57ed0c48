/**
 * @file The objects that operators create: services with their hosts, and policies.
 *
 * The platform's store holds them as JSON (platform/object_json.h); nodes send them to each other
 * as msgpack (config/record.h). A service object contains its hosts, so that one conditional update
 * changes both.
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

/** Administrative state of a host. */
enum class HostState : uint8_t {
  kActive = 0,
  /** Receives no new flows; its established flows continue until they end or until drainDeadline.
   */
  kDraining = 1,
};

/** One backend host of a service. */
struct HostSpec {
  std::string name;
  /** Destination of packets for the host (GUE variant 1 over UDP). */
  Endpoint endpoint;
  /** HTTP endpoint of GET /health and GET /load; port 0 if the host has none. */
  Endpoint probe;
  std::string zone;
  HostState state = HostState::kActive;
  /** Time from which the remaining flows of a draining host may be terminated; 0: never. */
  UnixSeconds drainDeadline = 0;
  /** Maximum number of open connections to the host, over all owners. */
  uint32_t connectionLimit = 2000;
  /** Static weight set by the operator, an input of policies; 100 is the default. */
  uint32_t weight = 100;
  /**
   * Identifies one run of the host, for packet formats that carry it (packet/packet_format.h); it
   * differs after a restart of the host. 0: the host has none.
   */
  uint64_t incarnation = 0;
  /** Remaining duration of the host's cold start at its last report, milliseconds. */
  uint32_t coldMilliseconds = 0;
  /** Requests that the host processes concurrently; 0: unknown. */
  uint32_t slots = 0;
  /**
   * Start time of this run of the host, Unix milliseconds by the host's own clock; 0: not reported.
   * A host that restarts with the same name and incarnation has a greater one (token/host_life.h).
   */
  uint64_t startedAtMilliseconds = 0;

  bool operator==(const HostSpec&) const = default;

  /** Number of trailing fields that nodes of an earlier release do not send. */
  static constexpr uint32_t kOptionalFields = 1;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(name, endpoint, probe, zone, state, drainDeadline, connectionLimit, weight, incarnation,
            coldMilliseconds, slots, startedAtMilliseconds);
  }
};

/** Request rate that hosts can serve during their cold start. */
struct ColdLimit {
  /** 0: unknown. */
  double requestsPerSecond = 0.0;
  /** Duration of the cold start of a host, milliseconds. */
  uint32_t startMilliseconds = 0;

  bool operator==(const ColdLimit&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(requestsPerSecond, startMilliseconds);
  }
};

/** Hosts that several services share; each service names the pool in its groups. */
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

/** The share of a service's new flows that is assigned to the hosts of one pool. */
struct HostGroup {
  /** Name of a HostPool. */
  std::string pool;
  /** Share of the new flows, relative to the sum over the service's groups; 0: no new flows. */
  uint32_t share = 1;

  bool operator==(const HostGroup&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(pool, share);
  }
};

/** A service: a virtual address and port, its hosts and how new flows are distributed over them. */
struct Service {
  std::string name;
  /** Home region; nodes of this region own the service's flows. */
  std::string region;
  /** Virtual address, host byte order. */
  uint32_t address = 0;
  uint16_t port = 0;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** Name of a Policy; empty: all hosts have equal weights. */
  std::string policy;
  /** Idle timeout: a flow without a packet for this long is removed. */
  uint32_t idleTimeoutSeconds = 86400;
  /** Number of shards of the flow space, each with one owner node; 1 to 64. */
  uint16_t shardCount = 3;
  std::vector<HostSpec> hosts;
  /**
   * Pools whose hosts serve new flows, with their shares; if there are any, `hosts` is empty. Only
   * for the strategy "token" (token/token_director.h).
   */
  std::vector<HostGroup> groups;
  /**
   * Whether callers may retry requests of this service. If so, a flow whose host is unresponsive is
   * refused, so that the caller retries early. Only for the strategy "token".
   */
  bool repeatable = false;
  /** Priority of the service's new flows if some are queued: 0 is served before 1. Only for the
   * strategy "token". */
  uint32_t priority = 1;
  /** Timeout after which callers abandon a request; 0: unknown. Only for the strategy "token". */
  uint32_t requestTimeoutMilliseconds = 0;
  /** Target response latency of the service; 0: unknown. Only for the strategy "token". */
  uint32_t targetLatencyMilliseconds = 0;

  bool operator==(const Service&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(name, region, address, port, protocol, policy, idleTimeoutSeconds, shardCount, hosts,
            groups, repeatable, priority, requestTimeoutMilliseconds, targetLatencyMilliseconds);
  }
};

/** A short Lua program with the functions weigh(host) and admit(service); see
 * policy/policy_engine.h. */
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
