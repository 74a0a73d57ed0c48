/**
 * @file Host health: schedules the probes of this shard owner and merges its results with those of
 * other owners.
 *
 * The owner of shard i probes the hosts with index % shardCount == i; the owners of the other
 * shards receive the results in LoadShare messages. A host becomes unhealthy after 3 consecutive
 * failures and healthy after 2 consecutive successes. If more than half of the active hosts are
 * unhealthy, health is ignored (panic threshold), so that false reports for many hosts at once do
 * not take the service down. Panic mode lasts for an additional hold time, because the recovery of
 * the hosts becomes known one host at a time; without it, the hosts reported last would be
 * excluded. A host that recovers in panic mode was never excluded, so it does not go through slow
 * start.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/base/random.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"

namespace umberhold {

/** Options of health probing. */
struct HostHealthOptions {
  Duration interval = std::chrono::seconds(5);
  /** Interval after a failure, and while an unhealthy host recovers. */
  Duration intervalAfterMiss = std::chrono::seconds(1);
  /**
   * Intervals vary by up to this fraction, so that the probes of many owners do not synchronize.
   */
  double jitter = 0.1;
  uint32_t missesToUnhealthy = 3;
  uint32_t answersToHealthy = 2;
  /** Maximum number of probes per second; further probes are delayed. */
  double probesPerSecond = 20.0;
  /**
   * Slow start: a host that appears or recovers receives its full share of new flows only after
   * this time.
   */
  Duration coldRamp = std::chrono::seconds(30);
  /**
   * How long panic mode lasts after the panic threshold was last exceeded. It exceeds the time
   * until a recovery is reported to all owners: two probes and the interval of LoadShare.
   */
  Duration panicHold = std::chrono::seconds(15);
  /** How long a result of another owner remains valid; after that the host counts as healthy. */
  Duration remoteResultLifetime = std::chrono::seconds(60);
};

/** Attributes of a host that its probing depends on. */
struct ProbedHost {
  HostId host;
  /** False if the host has no probe endpoint and therefore always counts as healthy. */
  bool probed = true;
  /** Not draining. */
  bool active = true;
};

/** A load report and its time. */
struct LoadReport {
  /** Load in percent of the host's capacity. */
  uint32_t loadPercent = 0;
  TimePoint at;
  /** Number of flows on the host when the report arrived. */
  double flowsAtReport = 0.0;
};

/** Not thread safe; no I/O. */
class HostHealth {
 public:
  HostHealth(HostHealthOptions options, uint64_t seed) : options_(options), random_(seed) {}

  /**
   * Sets the hosts of the service, in order. Hosts of the first call count as warm, hosts added
   * later as cold.
   */
  void setHosts(TimePoint now, const std::vector<ProbedHost>& hosts, uint16_t shardCount);
  /** Sets the shards that this node owns; their hosts are probed here. */
  void setOwnedShards(const std::vector<uint16_t>& shards);

  /** @return the hosts to probe now. Each is rescheduled at once, whether or not it answers. */
  std::vector<HostId> dueProbes(TimePoint now);
  /** Records the result of a probe by this node. */
  void onProbe(TimePoint now, HostId host, bool healthy, std::optional<LoadReport> report);
  /** Records the result of the owner of a shard; ignored if that owner does not probe the host. */
  void onRemoteResult(TimePoint now, uint16_t fromShard, HostId host, bool healthy,
                      std::optional<LoadReport> report);

  /** @return whether the host's health allows new flows, with the panic threshold applied. */
  bool mayTakeFlows(TimePoint now, HostId host) const;
  /** @return the probe result, without the panic threshold; unknown hosts are unhealthy. */
  bool isHealthy(TimePoint now, HostId host) const;
  /**
   * @return whether health is ignored because more than half of the active hosts are unhealthy, or
   * were less than panicHold ago.
   */
  bool isPanicking(TimePoint now) const;
  bool probedHere(HostId host) const;
  /** @return the last load report, if any. */
  std::optional<LoadReport> report(HostId host) const;
  /**
   * @return seconds since the host appeared or recovered; a large value for a warm host, 0 for an
   * unknown one.
   */
  double ageSeconds(TimePoint now, HostId host) const;
  /** @return the fraction of its weight that a cold host receives, above 0 and up to 1. */
  double rampFactor(TimePoint now, HostId host) const;

 private:
  struct State {
    size_t index = 0;
    bool probed = true;
    bool active = true;
    bool healthy = true;
    uint32_t misses = 0;
    uint32_t answers = 0;
    TimePoint nextProbe;
    /** Unset for a warm host. */
    std::optional<TimePoint> warmingSince;
    /** Set if the state comes from another owner. */
    std::optional<TimePoint> remoteAt;
    std::optional<LoadReport> report;
  };

  void becomeHealthy(TimePoint now, State& state);
  bool isMajorityUnhealthy(TimePoint now) const;
  /** Must be called before any change that may end panic mode. */
  void updatePanicTime(TimePoint now);
  bool ownsIndex(size_t index) const;
  bool isConsideredHealthy(TimePoint now, const State& state) const;

  HostHealthOptions options_;
  RandomSource random_;
  std::unordered_map<HostId, State> states_;
  std::vector<HostId> order_;
  std::vector<bool> ownedShards_;
  uint16_t shardCount_ = 1;
  bool first_ = true;
  /** When the panic threshold was last seen exceeded. */
  std::optional<TimePoint> lastPanic_;
  double probeTokens_ = 0.0;
  TimePoint tokensAt_{};
};

}  // namespace umberhold
