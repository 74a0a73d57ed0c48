/**
 * @file Cost of the host state of a node: one change of one host, and a start from the copy that a
 * reader provides. Sizes: one deployment, twice that, and the whole system.
 */
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/platform/host_copy.h"
#include "common/platform/host_presence.h"
#include "common/token/token_director.h"
#include "common/wire/codec.h"

using namespace umberhold;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};
constexpr uint64_t kZones = 5;
constexpr const char* kPool = "dispatch";

HostEvent makeHost(uint64_t number, uint64_t version) {
  HostEvent event;
  event.pool = kPool;
  event.host.name = "i-" + std::to_string(0x5F0C3E9A00 + number);
  event.host.zone = "zone-" + std::to_string(number % kZones);
  event.host.endpoint = Endpoint{0x0A000000 + static_cast<uint32_t>(number), 8080};
  event.host.incarnation = 0x5F0C3E9A00 + number;
  event.host.slots = 2;
  event.host.startedAtMilliseconds = 1764000000000 + number;
  event.version = version;
  event.madeAt = number;
  return event;
}

std::vector<HostEvent> makeHosts(uint64_t count) {
  std::vector<HostEvent> hosts;
  for (uint64_t number = 1; number <= count; ++number) {
    hosts.push_back(makeHost(number, number));
  }
  return hosts;
}

void fill(HostPresence& presence, const std::vector<HostEvent>& hosts) {
  for (const HostEvent& event : hosts) {
    presence.onRegistered({event.pool, event.host, event.version, event.madeAt});
  }
}

/** One host starts draining or becomes active again: from the store event to the updated pool for
 * the catalogue. */
void changeOfPresence(benchmark::State& state) {
  const auto count = static_cast<uint64_t>(state.range(0));
  HostPresence presence;
  fill(presence, makeHosts(count));
  presence.settle(kStart);
  uint64_t version = count;
  for (auto _ : state) {
    HostEvent event = makeHost(1 + version % count, ++version);
    event.host.state = version % 2 == 0 ? HostState::kActive : HostState::kDraining;
    presence.onRegistered({event.pool, event.host, event.version, event.madeAt});
    benchmark::DoNotOptimize(presence.settle(kStart));
  }
}

/** The same change, from the catalogue to the placement. */
void changeOfDirector(benchmark::State& state) {
  const auto count = static_cast<uint64_t>(state.range(0));
  RandomSource random(1);
  TokenOptions options;
  options.zone = "zone-1";
  TokenDirector director(options, random);
  HostPool pool{kPool, {}};
  for (const HostEvent& event : makeHosts(count)) {
    pool.hosts.push_back(event.host);
  }
  uint64_t version = 0;
  director.setPool(kStart, pool, ++version);
  for (auto _ : state) {
    HostSpec& host = pool.hosts[version % count];
    host.state = host.state == HostState::kActive ? HostState::kDraining : HostState::kActive;
    benchmark::DoNotOptimize(director.setPool(kStart, pool, ++version));
  }
}

/** Work of a reader: encodes one copy for all its followers. */
void makeCopy(benchmark::State& state) {
  const auto hosts = makeHosts(static_cast<uint64_t>(state.range(0)));
  size_t bytes = 0;
  for (auto _ : state) {
    const auto copy = makeHostCopy(1, hosts);
    bytes = 0;
    for (const std::string& part : valueOf(copy).parts) {
      bytes += part.size();
    }
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

/** Work of each follower: decodes the parts, applies the hosts and settles. */
void takeCopy(benchmark::State& state) {
  const auto copy = makeHostCopy(1, makeHosts(static_cast<uint64_t>(state.range(0))));
  for (auto _ : state) {
    HostPresence presence;
    for (const std::string& part : valueOf(copy).parts) {
      const auto decoded = decodeHostCopyPart(part);
      fill(presence, valueOf(decoded).hosts);
    }
    benchmark::DoNotOptimize(presence.settle(kStart));
  }
}

/** Remaining part of a follower's start: the director receives its first pool. */
void firstPoolOfDirector(benchmark::State& state) {
  HostPool pool{kPool, {}};
  for (const HostEvent& event : makeHosts(static_cast<uint64_t>(state.range(0)))) {
    pool.hosts.push_back(event.host);
  }
  for (auto _ : state) {
    RandomSource random(1);
    TokenDirector director(TokenOptions{}, random);
    benchmark::DoNotOptimize(director.setPool(kStart, pool, 1));
  }
}

void setSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(10000)->Arg(20000)->Arg(160000)->Unit(benchmark::kMillisecond);
}

}  // namespace

BENCHMARK(changeOfPresence)->Apply(setSizes);
BENCHMARK(changeOfDirector)->Apply(setSizes);
BENCHMARK(makeCopy)->Apply(setSizes);
BENCHMARK(takeCopy)->Apply(setSizes);
BENCHMARK(firstPoolOfDirector)->Apply(setSizes);

BENCHMARK_MAIN();
