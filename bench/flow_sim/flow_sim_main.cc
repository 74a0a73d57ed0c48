/** @file Broken flows and imbalance under planned and unplanned changes, product against baselines.
 */
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

/** A UDP flow has no end but silence; far longer than the gaps between its packets. */
constexpr uint32_t kUdpIdleTimeoutSeconds = 60;
/** A change must be effective everywhere within this time; then the drain counts. */
constexpr Duration kInForce = std::chrono::seconds(1);

/** What callers do and what for. */
struct LoadShape {
  TransportProtocol protocol = TransportProtocol::kTcp;
  double flowsPerSecond = 100.0;
  Duration meanLife = std::chrono::seconds(60);
};

Service fleet(TransportProtocol protocol) {
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

/** One cell of the table. */
struct Scenario {
  std::string name;
  std::function<void(SimulatedRegion&)> run;
};

/** @return the node that owns shard `index`. */
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

/** The owner and its replica, 5 s apart: less than the replica's replacement may take. */
void killReplicaThenOwner(SimulatedRegion& region) {
  const uint32_t owner = ownerOf(region, 0);
  const auto named = region.director(owner)
                         ? region.director(owner)->shardMap().lookup(ShardId{region.serviceId(), 0})
                         : std::nullopt;
  region.killNode(named && named->replica ? named->replica->value : owner % kNodes + 1);
  region.runFor(std::chrono::seconds(5));
  region.killNode(owner);
  region.runFor(std::chrono::seconds(20));
}

void killBothAtOnce(SimulatedRegion& region) {
  const uint32_t owner = ownerOf(region, 0);
  const auto named = region.director(owner)
                         ? region.director(owner)->shardMap().lookup(ShardId{region.serviceId(), 0})
                         : std::nullopt;
  region.killNode(named && named->replica ? named->replica->value : owner % kNodes + 1);
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

/** Drains the first hosts of the service. */
void drain(SimulatedRegion& region, uint32_t hosts) {
  Service service = region.service();
  for (uint32_t index = 0; index < hosts; ++index) {
    service.hosts[index].state = HostState::kDraining;
    region.oracle().setDraining(service.hosts[index].endpoint, region.now() + kInForce);
  }
  region.configure(service);
}

void replaceHosts(SimulatedRegion& region) {
  drain(region, 3);
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

void releaseWithDrain(SimulatedRegion& region) {
  drain(region, 1);
  region.runFor(std::chrono::milliseconds(500));
  rollingRestart(region);
}

struct Figures {
  uint64_t established = 0;
  uint64_t broken = 0;
  /** New flows on a host that has drained for more than 3 s. */
  uint64_t newOnDraining = 0;
  double imbalance = 0.0;
  double bytes = 0.0;
  uint64_t peakBytes = 0;
  /** Acknowledgements of the log, a node a second. */
  double acknowledgementBytes = 0.0;
  /** The log alone, of the node that sent most of it, a second. */
  double busiestBytes = 0.0;
  double snapshotBytes = 0.0;
  double loadBytes = 0.0;
};

Figures measure(const Scenario& scenario, FlowStrategy strategy, uint64_t seed,
                const LoadShape& shape) {
  RegionOptions options;
  options.seed = seed;
  options.strategy = strategy;
  SimulatedRegion region(options);
  for (uint32_t id = 1; id <= kNodes; ++id) {
    region.startNode(id, zoneOf(id));
  }
  region.runFor(std::chrono::seconds(2));
  region.configure(fleet(shape.protocol));
  region.runFor(std::chrono::seconds(3));
  CallerLoadOptions load;
  load.protocol = shape.protocol;
  load.flowsPerSecond = shape.flowsPerSecond;
  load.meanLife = shape.meanLife;
  CallerLoad callers(region, load);
  callers.start();
  const TimePoint start = region.now();
  region.runFor(shape.meanLife);
  scenario.run(region);
  Figures figures;
  figures.imbalance = region.oracle().imbalance();
  region.runFor(std::chrono::seconds(10));
  const double seconds = std::chrono::duration<double>(region.now() - start).count();
  figures.established = region.oracle().established();
  figures.broken = region.oracle().broken();
  const auto& violations = region.oracle().violations();
  figures.newOnDraining = static_cast<uint64_t>(
      std::count_if(violations.begin(), violations.end(), [](const Violation& violation) {
        return violation.kind == Violation::Kind::kNewOnDraining;
      }));
  figures.bytes = static_cast<double>(region.traffic().replicationBytes()) / seconds / kNodes;
  figures.snapshotBytes = static_cast<double>(region.traffic().snapshotBytes()) / seconds / kNodes;
  figures.acknowledgementBytes =
      static_cast<double>(region.traffic().acknowledgementBytes()) / seconds / kNodes;
  figures.busiestBytes = static_cast<double>(region.traffic().busiestReplicationBytes()) / seconds;
  figures.loadBytes = static_cast<double>(region.traffic().loadBytes()) / seconds / kNodes;
  figures.peakBytes = region.traffic().peakReplicationBytes();
  return figures;
}

void printRow(const char* scenario, const char* strategy, const Figures& figures) {
  std::printf(
      "%-23s %-12s %8llu %7llu %8.3f%% %9llu %9.3f %10.0f %10llu %10.0f %10.0f %10.0f %10.0f\n",
      scenario, strategy, static_cast<unsigned long long>(figures.established),
      static_cast<unsigned long long>(figures.broken),
      100.0 * static_cast<double>(figures.broken) /
          static_cast<double>(std::max<uint64_t>(figures.established, 1)),
      static_cast<unsigned long long>(figures.newOnDraining), figures.imbalance, figures.bytes,
      static_cast<unsigned long long>(figures.peakBytes), figures.busiestBytes,
      figures.acknowledgementBytes, figures.snapshotBytes, figures.loadBytes);
  std::fflush(stdout);
}

int run(int argc, char** argv) {
  TCLAP::CmdLine command("Broken flows under change, simulated", ' ', "0.1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the run", false, 20261202, "number", command);
  TCLAP::ValueArg<double> rate("", "rate", "new flows a second", false, 100.0, "number", command);
  TCLAP::ValueArg<int> life("", "life", "mean life of a flow, seconds", false, 60, "number",
                            command);
  std::vector<std::string> protocolNames = {"tcp", "udp"};
  TCLAP::ValuesConstraint<std::string> protocols(protocolNames);
  TCLAP::ValueArg<std::string> protocol("", "protocol", "protocol of the flows", false, "tcp",
                                        &protocols, command);
  TCLAP::ValueArg<std::string> only("", "only", "run one scenario", false, "", "name", command);
  command.parse(argc, argv);

  const LoadShape shape{
      protocol.getValue() == "udp" ? TransportProtocol::kUdp : TransportProtocol::kTcp,
      rate.getValue(), std::chrono::seconds(life.getValue())};
  const std::vector<Scenario> scenarios = {
      {"steady", [](SimulatedRegion& region) { region.runFor(std::chrono::seconds(20)); }},
      {"rolling-restart", rollingRestart},
      {"drain-and-replace", replaceHosts},
      {"restart-while-draining", releaseWithDrain},
      {"kill-owner", killOwner},
      {"kill-two-in-a-row", killOwnerTwice},
      {"kill-replica-then-owner", killReplicaThenOwner},
      {"kill-both-at-once", killBothAtOnce},
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
      printRow(scenario.name.c_str(), name, measure(scenario, strategy, seed.getValue(), shape));
    }
  }
  return 0;
}

}  // namespace
}  // namespace umberhold

int main(int argc, char** argv) {
  return umberhold::run(argc, argv);
}
