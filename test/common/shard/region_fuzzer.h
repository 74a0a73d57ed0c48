/** @file Random disturbances of a region, checked by an oracle. */
#pragma once

#include <algorithm>
#include <ostream>
#include <set>
#include <vector>

#include "region_scenario.h"

namespace umberhold {

/** The disturbance of one step. */
enum class Disturbance : uint8_t {
  // Planned.
  kNothing,
  kLeave,
  kJoin,
  kDrainHost,
  kUndrainHost,
  kAddHost,
  kChangeFaults,
  // Unplanned.
  kKill,
  kPause,
  kCutZone,
  kHealZones,
  kCount,
};
inline constexpr int kPlannedDisturbances = static_cast<int>(Disturbance::kKill);
inline constexpr int kAllDisturbances = static_cast<int>(Disturbance::kCount);

/** One step: a disturbance, its target, and the time that the region then runs. */
struct FuzzStep {
  Disturbance disturbance = Disturbance::kNothing;
  uint32_t target = 0;
  uint32_t milliseconds = 0;
};

inline std::ostream& operator<<(std::ostream& out, const FuzzStep& step) {
  return out << "{" << static_cast<int>(step.disturbance) << "," << step.target << ","
             << step.milliseconds << "}";
}

/** Runs steps on a region. Not thread safe. */
class RegionFuzzer {
 public:
  RegionFuzzer(uint64_t seed, TransportProtocol protocol, uint32_t connectionLimit)
      : scenario_(optionsOf(seed), loadOf(protocol)), random_(seed) {
    Service service = region().service();
    for (HostSpec& host : service.hosts) {
      host.connectionLimit = connectionLimit;
    }
    region().configure(service);
    region().runFor(std::chrono::seconds(5));
  }

  void run(const std::vector<FuzzStep>& steps) {
    for (const FuzzStep& step : steps) {
      disturb(step);
      region().runFor(std::chrono::milliseconds(step.milliseconds));
    }
    region().setFaults(NetworkFaults{});
    region().healZones();
    region().runFor(std::chrono::seconds(12));
  }

  /**
   * @return whether each shard has one owner. If a zone has no running node, waits for that:
   * the lost state may still exist in the unreachable zone, and a shard is created again only
   * once the zone counts as dead.
   */
  bool everyShardGetsOneOwner() {
    const Duration timeout = ShardDirectorOptions{}.zonePartitionTimeout + std::chrono::seconds(20);
    const TimePoint end = region().now() + (anyZoneIsDead() ? timeout : Duration(0));
    while (region().shardsWithOneOwner() != kShards && region().now() < end) {
      region().runFor(std::chrono::seconds(1));
    }
    return region().shardsWithOneOwner() == kShards;
  }

  SimulatedRegion& region() { return scenario_.region; }
  uint64_t count(Violation::Kind kind) {
    const auto& violations = region().oracle().violations();
    return static_cast<uint64_t>(
        std::count_if(violations.begin(), violations.end(),
                      [&](const Violation& violation) { return violation.kind == kind; }));
  }

 private:
  static constexpr size_t kMinNodes = 3;
  static constexpr uint32_t kMaxNodes = 8;
  static constexpr uint32_t kShards = 3;

  static RegionOptions optionsOf(uint64_t seed) {
    RegionOptions options;
    options.seed = seed;
    return options;
  }
  static CallerLoadOptions loadOf(TransportProtocol protocol) {
    CallerLoadOptions load;
    load.protocol = protocol;
    load.flowsPerSecond = 50.0;
    load.meanLife = std::chrono::seconds(20);
    return load;
  }

  /** @return whether some zone has no running node. */
  bool anyZoneIsDead() {
    std::set<uint32_t> zones;
    for (const uint32_t id : region().runningNodes()) {
      zones.insert(RegionScenario::zoneOf(id));
    }
    return zones.size() < RegionScenario::kZones;
  }

  /** @return a running node that is not leaving, or 0 if too few would remain. */
  uint32_t victim(uint32_t target) {
    std::vector<uint32_t> candidates;
    for (const uint32_t id : region().runningNodes()) {
      if (std::find(leaving_.begin(), leaving_.end(), id) == leaving_.end()) {
        candidates.push_back(id);
      }
    }
    return candidates.size() <= kMinNodes ? 0 : candidates[target % candidates.size()];
  }

  void disturb(const FuzzStep& step) {
    switch (step.disturbance) {
      case Disturbance::kLeave:
        if (const uint32_t id = victim(step.target)) {
          leaving_.push_back(id);
          region().leaveNode(id);
        }
        break;
      case Disturbance::kJoin:
        join();
        break;
      case Disturbance::kDrainHost:
        drain(step.target, HostState::kDraining);
        break;
      case Disturbance::kUndrainHost:
        drain(step.target, HostState::kActive);
        break;
      case Disturbance::kAddHost:
        addHost();
        break;
      case Disturbance::kChangeFaults:
        region().setFaults(NetworkFaults{0.05 * (step.target % 4), 0.05 * (step.target % 3),
                                         std::chrono::microseconds(100),
                                         std::chrono::milliseconds(1 + step.target % 50)});
        break;
      case Disturbance::kKill:
        if (const uint32_t id = victim(step.target)) {
          region().killNode(id);
        }
        break;
      case Disturbance::kPause:
        if (const uint32_t id = victim(step.target)) {
          region().pauseNode(id, std::chrono::milliseconds(step.milliseconds * 3));
        }
        break;
      case Disturbance::kCutZone:
        region().cutZone(step.target % RegionScenario::kZones + 1);
        break;
      case Disturbance::kHealZones:
        region().healZones();
        break;
      case Disturbance::kNothing:
      case Disturbance::kCount:
        break;
    }
  }

  void join() {
    for (uint32_t id = 1; id <= kMaxNodes; ++id) {
      if (!region().isRunning(id)) {
        std::erase(leaving_, id);
        region().startNode(id, RegionScenario::zoneOf(id));
        return;
      }
    }
  }

  void drain(uint32_t target, HostState state) {
    Service service = region().service();
    HostSpec& host = service.hosts[target % service.hosts.size()];
    const auto draining =
        std::count_if(service.hosts.begin(), service.hosts.end(),
                      [](const HostSpec& other) { return other.state == HostState::kDraining; });
    const bool tooMany =
        state == HostState::kDraining && static_cast<size_t>(draining) * 2 >= service.hosts.size();
    if (host.state == state || tooMany) {
      return;
    }
    host.state = state;
    region().configure(service);
    const bool drains = state == HostState::kDraining;
    region().oracle().setDraining(
        host.endpoint,
        drains ? std::optional<TimePoint>(region().now() + std::chrono::seconds(1)) : std::nullopt);
  }

  void addHost() {
    Service service = region().service();
    HostSpec host = service.hosts.front();
    host.name = "added" + std::to_string(service.hosts.size());
    host.endpoint.address += 0x1000 + static_cast<uint32_t>(service.hosts.size());
    host.state = HostState::kActive;
    service.hosts.push_back(host);
    region().configure(service);
  }

  RegionScenario scenario_;
  RandomSource random_;
  std::vector<uint32_t> leaving_;
};

}  // namespace umberhold
