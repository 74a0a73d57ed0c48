/** @file What a ServicePlacement is made of; included by its own sources only. */
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

/** HostLoad::reportedLoad of a host that the sender doesn't probe. */
constexpr uint8_t kNotReported = 255;

/** Permit requests of a service at one owner, so that hosts at their limits don't fill the control
 * channel. */
constexpr TokenBucketOptions kPermitRequests{1.0, 40.0};

/** What a shard owned here needs beside its counts. */
struct OwnedShard {
  ShardPermits permits;
  TimePoint lastShare;
  /** Flows that came or went since the last share. */
  uint64_t changes = 0;
  /** A host that the shard probes became healthy or unhealthy since the last share. */
  bool healthChanged = false;
  /** Flows that the shard may have on each host, by index; refreshed with the hosts' states. */
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
  /** Permit requests that may be sent now. */
  TokenBucket permitBudget{kPermitRequests};
  TimePoint permitsChecked;

  /** Parallel to service.hosts. */
  std::vector<HostId> hosts;
  std::vector<uint8_t> weights;
  std::unordered_map<HostId, size_t> indices;

  /** Parallel to hosts; what the choice reads, refreshed now and then. */
  std::vector<BaseHost> ranking;
  std::vector<bool> eligible;
  std::vector<HostCondition> conditions;
  TimePoint refreshed;
  bool dirty = true;

  Parts(const Service& configured, ServicePlacementOptions given, ExceptionBudget& shared,
        uint64_t seed)
      : id(serviceIdOf(configured.name)),
        options(std::move(given)),
        budget(shared),
        loads(options.aging, options.loadShareInterval),
        health(options.health, seed) {}

  bool active(size_t index) const { return service.hosts[index].state == HostState::kActive; }
  void setHosts(TimePoint now, const Service& configured);
  void shardsChanged();
  /** Other owners shall hear of it with the next share. */
  void noteHealthChange(HostId host);
  void refresh(TimePoint now);
  void prepareConditions(TimePoint now, uint16_t shard);
  int64_t allowedFlows(uint16_t shard, const OwnedShard& owned, size_t index) const;
  bool anyEligible() const;
  /** Call prepareConditions first. */
  PlacementChoice chooseBaseHost(FlowHash flow, const BaseTable& base) const;
  std::vector<HostUse> usesOf(uint16_t shard) const;
  HostLoad shareOf(TimePoint now, uint16_t shard, HostId host) const;
  std::vector<double> blendedLoads(TimePoint now);
};

}  // namespace umberhold
