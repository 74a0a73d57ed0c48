/** @file Time of look-ups, of the search for takeover candidates, and of the loss and join of a
 * member in the shard map of one region, at the size that the system is designed for. */
#include <benchmark/benchmark.h>

#include "common/shard/shard_map.h"

namespace umberhold {
namespace {

constexpr uint32_t kMembers = 1900;
constexpr uint32_t kZones = 4;
constexpr uint64_t kServices = 2334;
constexpr uint16_t kShardsPerService = 3;

Member memberOf(uint32_t id, MemberState state) {
  Member member;
  member.id = NodeId{id};
  member.zone = ZoneId{id % kZones};
  member.state = state;
  return member;
}

ShardMap makeRegionMap() {
  ShardMap map(NodeId{1});
  for (uint32_t id = 1; id <= kMembers; ++id) {
    map.onMember(memberOf(id, MemberState::kAlive));
  }
  for (uint64_t service = 1; service <= kServices; ++service) {
    map.setService(ServiceId{service * 0x9E3779B97F4A7C15ULL}, kShardsPerService);
  }
  return map;
}

void lossAndJoin(benchmark::State& state) {
  ShardMap map = makeRegionMap();
  uint32_t id = 2;
  for (auto _ : state) {
    map.onMember(memberOf(id, MemberState::kDead));
    map.onMember(memberOf(id, MemberState::kAlive));
    id = id == kMembers ? 2 : id + 1;
  }
  benchmark::DoNotOptimize(map.takeChangedShards());
}
BENCHMARK(lossAndJoin)->Unit(benchmark::kMicrosecond);

void lookup(benchmark::State& state) {
  const ShardMap map = makeRegionMap();
  const ShardId shard{ServiceId{7 * 0x9E3779B97F4A7C15ULL}, 1};
  for (auto _ : state) {
    benchmark::DoNotOptimize(map.lookup(shard));
  }
}
BENCHMARK(lookup);

void takeoverCandidates(benchmark::State& state) {
  const ShardMap map = makeRegionMap();
  const ShardId shard{ServiceId{7 * 0x9E3779B97F4A7C15ULL}, 1};
  for (auto _ : state) {
    benchmark::DoNotOptimize(map.highestRankedPerZone(shard));
  }
}
BENCHMARK(takeoverCandidates)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace umberhold

BENCHMARK_MAIN();
