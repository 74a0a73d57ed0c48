/** @file Benchmarks of rendezvous hashing, the base table and a complete placement decision, by
 * number of hosts. */
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "common/base/hash.h"
#include "common/placement/rendezvous.h"
#include "common/placement/service_placement.h"

using namespace umberhold;

namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

std::vector<BaseHost> makeHosts(size_t count) {
  std::vector<BaseHost> hosts;
  for (size_t index = 0; index < count; ++index) {
    hosts.push_back({HostId{mixHash(5, index)}, 255});
  }
  return hosts;
}

void defaultHost(benchmark::State& state) {
  const BaseTable base(makeHosts(static_cast<size_t>(state.range(0))));
  uint64_t flow = 0;
  for (auto unused : state) {
    static_cast<void>(unused);
    benchmark::DoNotOptimize(base.defaultHost(FlowHash{mixHash(++flow, 1)}));
  }
}

void fullRanking(benchmark::State& state) {
  const auto hosts = makeHosts(static_cast<size_t>(state.range(0)));
  uint64_t flow = 0;
  for (auto unused : state) {
    static_cast<void>(unused);
    RendezvousWalk walk(hosts, FlowHash{mixHash(++flow, 1)});
    while (walk.next() < hosts.size()) {
    }
  }
}

Service makeService(size_t hosts) {
  Service service;
  service.name = "fleet";
  for (size_t index = 0; index < hosts; ++index) {
    HostSpec host;
    host.name = "host" + std::to_string(index);
    host.connectionLimit = 1000000000;
    service.hosts.push_back(host);
  }
  return service;
}

void choose(benchmark::State& state) {
  ExceptionBudget budget({1e9, 1e9});
  ServicePlacement placement(kNow, makeService(static_cast<size_t>(state.range(0))), {}, budget, 1);
  const ShardId shard{serviceIdOf("fleet"), 0};
  placement.shardOwned(kNow, shard, {});
  const BaseTable base(placement.currentBase());
  uint64_t flow = 0;
  for (auto unused : state) {
    static_cast<void>(unused);
    const FlowHash hash{mixHash(++flow, 1)};
    const auto choice = placement.choose(kNow, shard, hash, base, PlacementMode::kNormal);
    placement.flowAdded(shard, std::get<ChosenHost>(choice).host);
  }
}

BENCHMARK(defaultHost)->Arg(4)->Arg(15)->Arg(200);
BENCHMARK(fullRanking)->Arg(4)->Arg(15)->Arg(200);
BENCHMARK(choose)->Arg(4)->Arg(15)->Arg(200);

}  // namespace

BENCHMARK_MAIN();
