/**
 * @file Where a new flow of one service goes: the one class of placement/ and health/ that shard
 * owners use.
 *
 * One object per service at a node that owns at least one of its shards. It counts the flows of the
 * shards owned here, takes in what other owners say (LoadShare), schedules probes, holds connection
 * limits and chooses hosts. It sends nothing itself: messages and probes that are due are asked for
 * and sent by the caller.
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

/** How free the choice is. */
enum class PlacementMode : uint8_t {
  /** Any admissible host under the load bound. */
  kNormal,
  /** The base table's host or none (after a takeover, or while the replica is silent). */
  kBaseOnly,
};

/** The host for the flow. */
struct ChosenHost {
  HostId host;
  /** The base table alone would say another host: the choice must be replicated. */
  bool isException = false;
};

/** No host may take the flow. */
struct NoAdmissibleHost {
  /**
   * Some host (in kBaseOnly: the base's host) was healthy and not draining, but every such host was
   * at its connection limit.
   */
  bool saturated = false;
};

using PlacementChoice = std::variant<ChosenHost, NoAdmissibleHost>;

/** How a flow came into the owner's table. */
enum class FlowOrigin : uint8_t {
  /** Placed by this owner. */
  kNew,
  /** Placed by an earlier owner of the shard; seen here for the first time. */
  kAdopted,
};

/** A host that this node shall probe now. */
struct DueProbe {
  HostId host;
  /** HTTP endpoint. */
  Endpoint endpoint;
};

/** What distinguishes one node's placement from another's. */
struct ServicePlacementOptions {
  /** Zone of this node, for HostView::sameZone. */
  std::string zoneName;
  /** Interval between two LoadShare messages of a shard; longer where little changed. */
  Duration loadShareInterval = std::chrono::seconds(10);
  /** The same where a host's health changed: owners that hear of it late act on a mixture of old
   * and new, which can hide that most hosts are out (HostHealth's panic threshold). */
  Duration healthShareInterval = std::chrono::seconds(1);
  LoadBoundOptions bound;
  ShareAging aging = ShareAging::kMeanLife;
  ConnectionLimitMode connectionLimit = ConnectionLimitMode::kLentPermits;
  HostHealthOptions health;
};

/** Not thread safe; no I/O. */
class ServicePlacement {
 public:
  /** @param budget exceptions a node may make; shared by all services of the node and borrowed. */
  ServicePlacement(TimePoint now, const Service& service, ServicePlacementOptions options,
                   ExceptionBudget& budget, uint64_t seed);
  ~ServicePlacement();
  ServicePlacement(const ServicePlacement&) = delete;
  ServicePlacement& operator=(const ServicePlacement&) = delete;

  // --- configuration
  // -------------------------------------------------------------------------------

  /** Takes the service as now configured; counts of hosts that stay are kept. Weights of new hosts
   * are 255. */
  void updateService(TimePoint now, const Service& service);
  /** Takes weight bytes, one for each host in the order of Service::hosts; see quantizeWeights. */
  void setWeights(const std::vector<uint8_t>& weights);
  /** @return the base table to build now: active hosts with their weights (cold ramp not applied).
   */
  std::vector<BaseHost> currentBase() const;

  // --- ownership
  // -----------------------------------------------------------------------------------

  /**
   * This node became owner. @param inherited flows and permits per host as the previous owner
   * handed them over; empty after a death (then the last LoadShare of the shard stands in) or for a
   * new shard.
   */
  void shardOwned(TimePoint now, ShardId shard, const std::vector<HostPermits>& inherited);
  /** @return flows and permits to hand over in the snapshot; ask when the shard's state is frozen.
   */
  std::vector<HostPermits> handOverPermits(ShardId shard) const;
  /** This node is no longer owner; the shard's own counts go. */
  void shardReleased(TimePoint now, ShardId shard);
  /** The owner knows all flows of the shard now: inherited counts not yet seen are forgotten. */
  void markFlowsComplete(ShardId shard);

  // --- flows
  // ---------------------------------------------------------------------------------------

  void flowAdded(ShardId shard, HostId host, FlowOrigin origin = FlowOrigin::kNew);
  void flowRemoved(ShardId shard, HostId host);

  /**
   * Chooses a host for a new flow; does not count it (call flowAdded once the flow has its entry).
   * Spends from the exception budget where the choice is an exception.
   */
  PlacementChoice choose(TimePoint now, ShardId shard, FlowHash flow, const BaseTable& base,
                         PlacementMode mode);
  /** @return whether a new flow of the shard may go to the host (state, health, weight, limit; not
   * the bound). */
  bool isAdmissible(TimePoint now, ShardId shard, HostId host) const;
  /** @return whether established flows may stay: configured, and not draining past its deadline. */
  bool hostRuns(HostId host, UnixSeconds unixNow) const;

  // --- messages
  // ------------------------------------------------------------------------------------

  /** @return whether a LoadShare of the shard is due; send it to the other shards' owners and to
   * the replica. */
  bool loadShareDue(TimePoint now, ShardId shard) const;
  /** @return the messages (each fits a datagram), and starts the next interval. */
  std::vector<LoadShare> makeLoadShare(TimePoint now, ShardId shard, uint32_t epoch);
  void onLoadShare(TimePoint now, const LoadShare& share);

  /** A request for permits, to be sent to the owner of a shard. */
  struct OutgoingPermitRequest {
    /** The shard whose owner is asked. */
    ShardId to;
    PermitRequest request;
  };
  /** @return requests due now for the shards owned here; repeated until answered. */
  std::vector<OutgoingPermitRequest> duePermitRequests(TimePoint now);
  /** @return the answer to the asking shard's owner, where the asked shard is owned here. */
  std::optional<PermitGrant> onPermitRequest(TimePoint now, const PermitRequest& request);
  void onPermitGrant(TimePoint now, const PermitGrant& grant);

  // --- health
  // --------------------------------------------------------------------------------------

  /** @return hosts that this node shall probe now; each is expected to answer by onProbe. */
  std::vector<DueProbe> dueProbes(TimePoint now);
  void onProbe(TimePoint now, const ProbeResult& result);

  // --- views for policies and the admin API
  // ----------------------------------------------------------

  /** @return one view for each host in the order of Service::hosts. */
  std::vector<HostView> hostViews(TimePoint now) const;
  ServiceView serviceView(TimePoint now) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
