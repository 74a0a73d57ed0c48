/** @file Internal state of ServicePlacement; included by its own sources only. */
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/base/hash.h"
#include "common/placement/service_placement.h"
#include "common/placement/shard_permits.h"

namespace umberhold {

/** HostLoad::reportedLoad of a host of which the sender has no recent load report. */
constexpr uint8_t kNotReported = 255;

/** Rate limit of the permit requests of one service at one owner, so that hosts at their limits
 * don't flood the control channel. */
constexpr TokenBucketOptions kPermitRequests{1.0, 40.0};

/** State of a shard owned here, besides its flow counts. */
struct OwnedShard {
  ShardPermits permits;
  TimePoint lastShare;
  /** Flows added or removed since the last share. */
  uint64_t changes = 0;
  /** The health of a host probed by the shard changed since the last share. */
  bool healthChanged = false;
  /** Maximum number of flows of the shard on each host, by index; updated by refresh(). */
  std::vector<int64_t> allowed;
};

struct ServicePlacement::Parts {
  ServiceId id;
  Service service;
  ServicePlacementOptions options;
  ExceptionBudget& budget;
  HostLoadTable loads;
  HostHealth health;
  std::map<uint16_t, OwnedShard> shards;
  /** Rate limiter of permit requests. */
  TokenBucket permitBudget{kPermitRequests};
  TimePoint permitsChecked;

  /** Parallel to service.hosts. */
  std::vector<HostId> hosts;
  std::vector<uint8_t> weights;
  std::unordered_map<HostId, size_t> indices;

  /** Parallel to hosts; inputs of the placement, updated by refresh(). */
  std::vector<BaseHost> ranking;
  std::vector<bool> eligible;
  std::vector<HostCondition> conditions;
  TimePoint refreshed;
  bool dirty = true;

  Parts(const Service& configured, ServicePlacementOptions placementOptions,
        ExceptionBudget& exceptionBudget, uint64_t seed)
      : id(serviceIdOf(configured.name)),
        options(std::move(placementOptions)),
        budget(exceptionBudget),
        loads(options.aging, options.loadShareInterval),
        health(options.health, seed) {}

  bool active(size_t index) const { return service.hosts[index].state == HostState::kActive; }
  void setHosts(TimePoint now, const Service& configured);
  void shardsChanged();
  /** Makes the next LoadShare of the shard that probes the host due early, for the other owners. */
  void markHealthChanged(HostId host);
  void refresh(TimePoint now);
  void prepareConditions(TimePoint now, uint16_t shard);
  int64_t allowedFlows(uint16_t shard, const OwnedShard& owned, size_t index) const;
  bool anyEligible() const;
  /** Call prepareConditions first. */
  PlacementChoice chooseBaseHost(FlowHash flow, const BaseTable& base) const;
  std::vector<HostUse> hostUses(uint16_t shard) const;
  HostLoad shareOf(TimePoint now, uint16_t shard, HostId host) const;
  std::vector<double> blendedLoads(TimePoint now);
};

}  // namespace umberhold
