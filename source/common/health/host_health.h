/**
 * @file Which hosts are healthy: schedules this owner's probes and takes in what it and other
 * owners found.
 *
 * Shard i probes the hosts with index % shardCount == i; the others learn the result from
 * LoadShare. A host is unhealthy after 3 misses in a row and healthy after 2 answers in a row. If
 * more than half of the active hosts would be out, health is ignored (panic threshold): reports
 * that are wrong for many hosts at once must not take the service down. It stays ignored for a
 * while longer, as the hosts' recovery becomes known host by host: those heard of late would be
 * taken out just then. A host that comes back while health is ignored was never out, so that it is
 * not warmed up.
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

/** Settings of probing. */
struct HostHealthOptions {
  Duration interval = std::chrono::seconds(5);
  /** Interval after a miss, and while an unhealthy host comes back. */
  Duration intervalAfterMiss = std::chrono::seconds(1);
  /** Intervals vary by up to this part, so that probes of many owners don't gather. */
  double jitter = 0.1;
  uint32_t missesToUnhealthy = 3;
  uint32_t answersToHealthy = 2;
  /** Most probes that are due in one second; the others wait. */
  double probesPerSecond = 20.0;
  /** A host that appears or comes back takes its full part of new flows only after this time. */
  Duration coldRamp = std::chrono::seconds(30);
  /**
   * Health stays ignored for this long after the unhealthy hosts were last too many. Longer than an
   * owner needs to hear of a recovery: two probes and the interval of LoadShare.
   */
  Duration panicHold = std::chrono::seconds(15);
  /** What another owner said counts for this long. */
  Duration remoteResultLifetime = std::chrono::seconds(60);
};

/** A host as probing sees it. */
struct ProbedHost {
  HostId host;
  /** False where the host has no probe endpoint: always healthy. */
  bool probed = true;
  /** Not draining. */
  bool active = true;
};

/** What a report says, with its age. */
struct LoadReport {
  /** Load in percent of the host's capacity. */
  uint32_t loadPercent = 0;
  TimePoint at;
  /** Flows on the host when the report came. */
  double flowsAtReport = 0.0;
};

/** Not thread safe; no I/O. */
class HostHealth {
 public:
  HostHealth(HostHealthOptions options, uint64_t seed) : options_(options), random_(seed) {}

  /** Takes the service's hosts in order. Hosts of the first call count as warm, later ones as cold.
   */
  void setHosts(TimePoint now, const std::vector<ProbedHost>& hosts, uint16_t shardCount);
  /** Says which shards this node owns; their hosts are probed here. */
  void setOwnedShards(const std::vector<uint16_t>& shards);

  /** @return hosts to probe now; each is rescheduled at once, whether it answers or not. */
  std::vector<HostId> dueProbes(TimePoint now);
  /** Takes a result of this node's probe. */
  void onProbe(TimePoint now, HostId host, bool healthy, std::optional<LoadReport> report);
  /** Takes what the owner of a shard found; ignored where that owner doesn't probe the host. */
  void onRemoteResult(TimePoint now, uint16_t fromShard, HostId host, bool healthy,
                std::optional<LoadReport> report);

  /** @return whether the host may get new flows as far as health goes; panic threshold applied. */
  bool mayTakeFlows(TimePoint now, HostId host) const;
  /** @return what the probes say, panic threshold not applied; unknown hosts are unhealthy. */
  bool isHealthy(TimePoint now, HostId host) const;
  /** @return whether health is ignored: more than half of the active hosts are unhealthy, or were
   * until less than panicHold ago. */
  bool isPanicking(TimePoint now) const;
  bool probedHere(HostId host) const;
  /** @return the last report, if any. */
  std::optional<LoadReport> report(HostId host) const;
  /** @return seconds since the host was first seen healthy, or came back; large for a warm host. */
  double ageSeconds(TimePoint now, HostId host) const;
  /** @return part of its weight that a host gets while it is cold, above 0 to 1. */
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
    /** Empty for a warm host. */
    std::optional<TimePoint> warmingSince;
    /** Set where another owner's word counts. */
    std::optional<TimePoint> remoteAt;
    std::optional<LoadReport> report;
  };

  void becomeHealthy(TimePoint now, State& state);
  bool isMajorityUnhealthy(TimePoint now) const;
  /** Call before anything changes that may end a panic. */
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
  /** When the unhealthy hosts were last seen to be too many. */
  std::optional<TimePoint> lastPanic_;
  double probeTokens_ = 0.0;
  TimePoint tokensAt_{};
};

}  // namespace umberhold
