/**
 * @file Placement of new flows of one service: the interface of placement/ and health/ for shard
 * owners.
 *
 * A node has one object per service of which it owns at least one shard. It counts the flows of the
 * shards owned here, processes the LoadShare messages of other owners, schedules probes, enforces
 * connection limits and chooses hosts. It does no I/O: the caller polls it for due messages and
 * probes and sends them.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/config/service.h"
#include "common/health/host_health.h"
#include "common/health/probe_result.h"
#include "common/messages/shard_messages.h"
#include "common/placement/base_table.h"
#include "common/placement/connection_limit.h"
#include "common/placement/exception_budget.h"
#include "common/placement/host_load_table.h"
#include "common/placement/load_bound.h"
#include "common/policy/policy_engine.h"

namespace umberhold {

/** Which hosts may be chosen. */
enum class PlacementMode : uint8_t {
  /** Any admissible host under the load bound. */
  kNormal,
  /** Only the base table's host (after a takeover, or while the replica is unresponsive). */
  kBaseOnly,
};

/** The host chosen for a flow. */
struct ChosenHost {
  HostId host;
  /** The base table's default is another host, so the choice must be replicated. */
  bool isException = false;
};

/** No host may take the flow. */
struct NoAdmissibleHost {
  /**
   * At least one host (in kBaseOnly: the base table's host) was healthy and not draining, but every
   * such host was at its connection limit.
   */
  bool saturated = false;
};

using PlacementChoice = std::variant<ChosenHost, NoAdmissibleHost>;

/** How a flow got into the owner's table. */
enum class FlowOrigin : uint8_t {
  /** Placed by this owner. */
  kNew,
  /** Placed by an earlier owner of the shard and seen here for the first time. */
  kAdopted,
};

/** A host to be probed by this node now. */
struct DueProbe {
  HostId host;
  /** HTTP endpoint. */
  Endpoint endpoint;
};

/** Options of a node's placement. */
struct ServicePlacementOptions {
  /** Zone of this node, for HostView::sameZone. */
  std::string zoneName;
  /** Interval between two LoadShare messages of a shard; longer if little has changed. */
  Duration loadShareInterval = std::chrono::seconds(10);
  /** The interval after a change of a host's health. Owners that are notified late act on a mixture
   * of old and new states, which can hide that most hosts are unhealthy (HostHealth's panic
   * threshold). */
  Duration healthShareInterval = std::chrono::seconds(1);
  LoadBoundOptions bound;
  ShareAging aging = ShareAging::kMeanLife;
  ConnectionLimitMode connectionLimit = ConnectionLimitMode::kLentPermits;
  HostHealthOptions health;
};

/** Not thread safe; no I/O. */
class ServicePlacement {
 public:
  /** @param budget exception budget of the node; borrowed, and shared by all its services. */
  ServicePlacement(TimePoint now, const Service& service, ServicePlacementOptions options,
                   ExceptionBudget& budget, uint64_t seed);
  ~ServicePlacement();
  ServicePlacement(const ServicePlacement&) = delete;
  ServicePlacement& operator=(const ServicePlacement&) = delete;

  // Configuration.

  /** Applies a changed configuration of the service. Hosts that remain keep their flow counts and
   * weights; new hosts get weight 255. */
  void updateService(TimePoint now, const Service& service);
  /** Sets the weight bytes, one per host in the order of Service::hosts; see quantizeWeights.
   * Ignored if their number differs from the number of hosts. */
  void setWeights(const std::vector<uint8_t>& weights);
  /** @return the hosts for a new base table: active hosts with their weights, without slow start.
   */
  std::vector<BaseHost> currentBase() const;

  // Ownership.

  /**
   * This node became the shard's owner. @param inherited flows and permits per host as handed over
   * by the previous owner; empty after a failure (then the last LoadShare of the shard is used) or
   * for a new shard.
   */
  void shardOwned(TimePoint now, ShardId shard, const std::vector<HostPermits>& inherited);
  /** @return flows and permits for the handover snapshot; call while the shard's state is frozen.
   */
  std::vector<HostPermits> handOverPermits(ShardId shard) const;
  /** This node is no longer the shard's owner; its counts are kept as if sent by the new owner. */
  void shardReleased(TimePoint now, ShardId shard);
  /** All flows of the shard are now in the owner's table: inherited flows that have not been seen
   * are removed. */
  void markFlowsComplete(ShardId shard);

  // Flows.

  void flowAdded(ShardId shard, HostId host, FlowOrigin origin = FlowOrigin::kNew);
  void flowRemoved(ShardId shard, HostId host);

  /**
   * Chooses a host for a new flow. Does not count the flow: call flowAdded once it has an entry.
   * Spends from the exception budget if the choice is an exception.
   */
  PlacementChoice choose(TimePoint now, ShardId shard, FlowHash flow, const BaseTable& base,
                         PlacementMode mode);
  /** @return whether the host may take a new flow of the shard (by state, health, weight and limit,
   * but not by the load bound). */
  bool isAdmissible(TimePoint now, ShardId shard, HostId host) const;
  /** @return whether the host may keep established flows: it is configured, and no drain deadline
   * has passed. */
  bool mayKeepFlows(HostId host, UnixSeconds unixNow) const;

  // Messages.

  /** @return whether a LoadShare of the shard is due; it is sent to the owners of the other shards
   * and to the replica. */
  bool loadShareDue(TimePoint now, ShardId shard) const;
  /** @return the messages, each of which fits into a datagram. Starts the next interval. */
  std::vector<LoadShare> makeLoadShare(TimePoint now, ShardId shard, uint32_t epoch);
  void onLoadShare(TimePoint now, const LoadShare& share);

  /** A permit request and its destination. */
  struct OutgoingPermitRequest {
    /** The shard whose owner receives the request. */
    ShardId to;
    PermitRequest request;
  };
  /** @return the requests due now for the shards owned here; unanswered requests are repeated. */
  std::vector<OutgoingPermitRequest> duePermitRequests(TimePoint now);
  /** @return the grant for the requesting shard's owner, or nullopt if the lending shard is not
   * owned here. */
  std::optional<PermitGrant> onPermitRequest(TimePoint now, const PermitRequest& request);
  void onPermitGrant(TimePoint now, const PermitGrant& grant);

  // Health.

  /** @return the hosts to probe now; report each result by onProbe(). */
  std::vector<DueProbe> dueProbes(TimePoint now);
  void onProbe(TimePoint now, const ProbeResult& result);

  // Views for policies and the admin API.

  /** @return one view per host in the order of Service::hosts. */
  std::vector<HostView> hostViews(TimePoint now) const;
  ServiceView serviceView(TimePoint now) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
