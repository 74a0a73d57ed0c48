/** @file Measures broken flows and imbalance under planned and unplanned changes, for the
 * production strategy and for baselines. */
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "standins/flows/caller_load.h"
#include "standins/flows/simulated_region.h"

namespace umberhold {
namespace {

constexpr uint32_t kNodes = 6;
constexpr uint32_t kZones = 3;
constexpr uint32_t kHosts = 15;

/** UDP flows end only by this timeout; it is much longer than the gaps between their packets. */
constexpr uint32_t kUdpIdleTimeoutSeconds = 60;
/** Maximum time until a configuration change is effective on all nodes. The oracle counts a drain
 * from the end of this time. */
constexpr Duration kMaxChangeDelay = std::chrono::seconds(1);

/** Traffic of the callers. */
struct CallerWorkload {
  TransportProtocol protocol = TransportProtocol::kTcp;
  double flowsPerSecond = 100.0;
  Duration meanLife = std::chrono::seconds(60);
};

Service makeService(TransportProtocol protocol) {
  Service service;
  service.protocol = protocol;
  if (protocol == TransportProtocol::kUdp) {
    service.idleTimeoutSeconds = kUdpIdleTimeoutSeconds;
  }
  service.name = "fleet";
  service.region = "hobart";
  service.address = 0x0A010101;
  service.port = 443;
  for (uint32_t index = 1; index <= kHosts; ++index) {
    HostSpec host;
    host.name = "host" + std::to_string(index);
    host.endpoint = Endpoint{0x0B000000 + index, 6080};
    service.hosts.push_back(host);
  }
  return service;
}

uint32_t zoneOf(uint32_t node) {
  return node % kZones + 1;
}

/** One scenario of the table; every strategy has a row for it. */
struct Scenario {
  std::string name;
  std::function<void(SimulatedRegion&)> run;
};

/** @return the node that owns shard `index`, or the first running node if there is no owner. */
uint32_t ownerOf(const SimulatedRegion& region, uint16_t index) {
  for (const uint32_t id : region.runningNodes()) {
    for (const ShardStats& stats : region.director(id)
                                       ? region.director(id)->shardStats(region.now())
                                       : std::vector<ShardStats>{}) {
      if (stats.shard.index == index && stats.role == ShardRole::kOwner) {
        return id;
      }
    }
  }
  return region.runningNodes().front();
}

void rollingRestart(SimulatedRegion& region) {
  for (uint32_t id = 1; id <= kNodes; ++id) {
    region.leaveNode(id);
    while (!region.hasEnded(id)) {
      region.runFor(std::chrono::seconds(1));
    }
    region.startNode(id, zoneOf(id));
    region.runFor(std::chrono::seconds(5));
  }
}

void killOwner(SimulatedRegion& region) {
  region.killNode(ownerOf(region, 0));
  region.runFor(std::chrono::seconds(20));
}

void killOwnerTwice(SimulatedRegion& region) {
  killOwner(region);
  killOwner(region);
}

/** Kills the replica of shard 0, and its owner 5 s later: replacing the replica may take longer. */
void killReplicaThenOwner(SimulatedRegion& region) {
  const uint32_t owner = ownerOf(region, 0);
  const auto assignment =
      region.director(owner)
          ? region.director(owner)->shardMap().lookup(ShardId{region.serviceId(), 0})
          : std::nullopt;
  region.killNode(assignment && assignment->replica ? assignment->replica->value
                                                    : owner % kNodes + 1);
  region.runFor(std::chrono::seconds(5));
  region.killNode(owner);
  region.runFor(std::chrono::seconds(20));
}

void killOwnerAndReplica(SimulatedRegion& region) {
  const uint32_t owner = ownerOf(region, 0);
  const auto assignment =
      region.director(owner)
          ? region.director(owner)->shardMap().lookup(ShardId{region.serviceId(), 0})
          : std::nullopt;
  region.killNode(assignment && assignment->replica ? assignment->replica->value
                                                    : owner % kNodes + 1);
  region.killNode(owner);
  region.runFor(std::chrono::seconds(20));
}

void cutZone(SimulatedRegion& region) {
  region.cutZone(1);
  region.runFor(std::chrono::seconds(30));
  region.healZones();
  region.runFor(std::chrono::seconds(20));
}

void pauseOwner(SimulatedRegion& region) {
  region.pauseNode(ownerOf(region, 0), std::chrono::seconds(8));
  region.runFor(std::chrono::seconds(30));
}

/** Starts to drain the first `hostCount` hosts of the service. */
void drainHosts(SimulatedRegion& region, uint32_t hostCount) {
  Service service = region.service();
  for (uint32_t index = 0; index < hostCount; ++index) {
    service.hosts[index].state = HostState::kDraining;
    region.oracle().setDraining(service.hosts[index].endpoint, region.now() + kMaxChangeDelay);
  }
  region.configure(service);
}

void drainAndReplaceHosts(SimulatedRegion& region) {
  drainHosts(region, 3);
  region.runFor(std::chrono::seconds(15));
  Service service = region.service();
  for (uint32_t index = 0; index < 3; ++index) {
    HostSpec host;
    host.name = "spare" + std::to_string(index);
    host.endpoint = Endpoint{0x0C000000 + index, 6080};
    service.hosts.push_back(host);
  }
  region.configure(service);
  region.runFor(std::chrono::seconds(15));
}

void restartWhileDraining(SimulatedRegion& region) {
  drainHosts(region, 1);
  region.runFor(std::chrono::milliseconds(500));
  rollingRestart(region);
}

/** Measurements of a run. Bytes are per second and node on average unless stated otherwise. */
struct ScenarioResult {
  uint64_t established = 0;
  uint64_t broken = 0;
  /** New flows on a host whose drain started more than 3 s before; see Violation::Kind. */
  uint64_t newOnDraining = 0;
  double imbalance = 0.0;
  /** Replication log. */
  double replicationBytes = 0.0;
  /** Maximum that one node sent in any second. */
  uint64_t peakReplicationBytes = 0;
  /** Acknowledgements of the replication log. */
  double acknowledgementBytes = 0.0;
  /** Replication log without acknowledgements, bytes per second of the node that sent the most. */
  double maxReplicationBytes = 0.0;
  /** Takeovers and snapshots. */
  double snapshotBytes = 0.0;
  double loadBytes = 0.0;
};

ScenarioResult measure(const Scenario& scenario, FlowStrategy strategy, uint64_t seed,
                       const CallerWorkload& workload) {
  RegionOptions options;
  options.seed = seed;
  options.strategy = strategy;
  SimulatedRegion region(options);
  for (uint32_t id = 1; id <= kNodes; ++id) {
    region.startNode(id, zoneOf(id));
  }
  region.runFor(std::chrono::seconds(2));
  region.configure(makeService(workload.protocol));
  region.runFor(std::chrono::seconds(3));
  CallerLoadOptions loadOptions;
  loadOptions.protocol = workload.protocol;
  loadOptions.flowsPerSecond = workload.flowsPerSecond;
  loadOptions.meanLife = workload.meanLife;
  CallerLoad callers(region, loadOptions);
  callers.start();
  const TimePoint start = region.now();
  region.runFor(workload.meanLife);
  scenario.run(region);
  ScenarioResult result;
  result.imbalance = region.oracle().imbalance();
  region.runFor(std::chrono::seconds(10));
  const double seconds = std::chrono::duration<double>(region.now() - start).count();
  result.established = region.oracle().established();
  result.broken = region.oracle().broken();
  const auto& violations = region.oracle().violations();
  result.newOnDraining = static_cast<uint64_t>(
      std::count_if(violations.begin(), violations.end(), [](const Violation& violation) {
        return violation.kind == Violation::Kind::kNewOnDraining;
      }));
  result.replicationBytes =
      static_cast<double>(region.traffic().replicationBytes()) / seconds / kNodes;
  result.snapshotBytes = static_cast<double>(region.traffic().snapshotBytes()) / seconds / kNodes;
  result.acknowledgementBytes =
      static_cast<double>(region.traffic().acknowledgementBytes()) / seconds / kNodes;
  result.maxReplicationBytes =
      static_cast<double>(region.traffic().busiestReplicationBytes()) / seconds;
  result.loadBytes = static_cast<double>(region.traffic().loadBytes()) / seconds / kNodes;
  result.peakReplicationBytes = region.traffic().peakReplicationBytes();
  return result;
}

void printRow(const char* scenario, const char* strategy, const ScenarioResult& result) {
  std::printf(
      "%-23s %-12s %8llu %7llu %8.3f%% %9llu %9.3f %10.0f %10llu %10.0f %10.0f %10.0f %10.0f\n",
      scenario, strategy, static_cast<unsigned long long>(result.established),
      static_cast<unsigned long long>(result.broken),
      100.0 * static_cast<double>(result.broken) /
          static_cast<double>(std::max<uint64_t>(result.established, 1)),
      static_cast<unsigned long long>(result.newOnDraining), result.imbalance,
      result.replicationBytes, static_cast<unsigned long long>(result.peakReplicationBytes),
      result.maxReplicationBytes, result.acknowledgementBytes, result.snapshotBytes,
      result.loadBytes);
  std::fflush(stdout);
}

int run(int argc, char** argv) {
  TCLAP::CmdLine command("Simulates broken flows under change", ' ', "0.1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the run", false, 20261202, "number", command);
  TCLAP::ValueArg<double> rate("", "rate", "new flows per second", false, 100.0, "number", command);
  TCLAP::ValueArg<int> life("", "life", "mean life of a flow in seconds", false, 60, "number",
                            command);
  std::vector<std::string> protocolNames = {"tcp", "udp"};
  TCLAP::ValuesConstraint<std::string> protocols(protocolNames);
  TCLAP::ValueArg<std::string> protocol("", "protocol", "protocol of the flows", false, "tcp",
                                        &protocols, command);
  TCLAP::ValueArg<std::string> only("", "only", "run only this scenario", false, "", "name",
                                    command);
  command.parse(argc, argv);

  const CallerWorkload workload{
      protocol.getValue() == "udp" ? TransportProtocol::kUdp : TransportProtocol::kTcp,
      rate.getValue(), std::chrono::seconds(life.getValue())};
  const std::vector<Scenario> scenarios = {
      {"steady", [](SimulatedRegion& region) { region.runFor(std::chrono::seconds(20)); }},
      {"rolling-restart", rollingRestart},
      {"drain-and-replace", drainAndReplaceHosts},
      {"restart-while-draining", restartWhileDraining},
      {"kill-owner", killOwner},
      {"kill-two-in-a-row", killOwnerTwice},
      {"kill-replica-then-owner", killReplicaThenOwner},
      {"kill-both-at-once", killOwnerAndReplica},
      {"pause-owner-8s", pauseOwner},
      {"cut-zone-30s", cutZone},
  };
  std::printf("seed %llu, %u nodes in %u zones, %u hosts, %.0f new %s flows/s, mean life %d s\n",
              static_cast<unsigned long long>(seed.getValue()), kNodes, kZones, kHosts,
              rate.getValue(), protocol.getValue().c_str(), life.getValue());
  std::printf("%-23s %-12s %8s %7s %9s %9s %9s %10s %10s %10s %10s %10s %10s\n", "scenario",
              "strategy", "flows", "broken", "share", "on drain", "imbalance", "repl B/s",
              "peak B/s", "busiest", "ack B/s", "snap B/s", "load B/s");
  for (const Scenario& scenario : scenarios) {
    if (!only.getValue().empty() && only.getValue() != scenario.name) {
      continue;
    }
    const std::vector<std::pair<const char*, FlowStrategy>> strategies = {
        {"owned", FlowStrategy::kOwned},
        {"plain-hash", FlowStrategy::kPlainHash},
        {"local-table", FlowStrategy::kLocalTable}};
    for (const auto& [name, strategy] : strategies) {
      printRow(scenario.name.c_str(), name, measure(scenario, strategy, seed.getValue(), workload));
    }
  }
  return 0;
}

}  // namespace
}  // namespace umberhold

int main(int argc, char** argv) {
  return umberhold::run(argc, argv);
}
