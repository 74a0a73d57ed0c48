/** @file Speed and memory use of the flow table. */
#include <malloc.h>

#include <unordered_map>

#include <benchmark/benchmark.h>

#include "common/base/hash.h"
#include "common/flow/flow_table.h"

using namespace umberhold;

namespace {

const TimePoint kNow{std::chrono::seconds(1)};
constexpr uint32_t kIdleTimeoutSeconds = 86400;
constexpr uint32_t kShards = 11;

FlowTableOptions tableOptions() {
  FlowTableOptions options;
  options.seed = 7;
  return options;
}

/** @return the number of allocated heap bytes. */
size_t heapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

FlowHash flowHashOf(uint64_t number) {
  return FlowHash{mixHash(1, number)};
}

/** Inserts established flows, distributed over kShards shards. */
void fill(FlowTable& table, uint64_t flows) {
  for (uint32_t shard = 0; shard < kShards; ++shard) {
    table.addShard(kIdleTimeoutSeconds);
  }
  for (uint64_t number = 0; number < flows; ++number) {
    NewFlow flow;
    flow.shardSlot = static_cast<uint32_t>(number % kShards);
    flow.flow = flowHashOf(number);
    flow.hostSlot = static_cast<uint16_t>(number % 15);
    flow.phase = PacketPhase::kContinuing;
    table.insert(kNow, flow);
  }
}

/** Also reports bytes per flow: of the slots, and of all heap allocations. */
void insertFlows(benchmark::State& state) {
  const auto flows = static_cast<uint64_t>(state.range(0));
  for (auto _ : state) {
    const size_t before = heapBytes();
    FlowTable table(tableOptions());
    fill(table, flows);
    const size_t after = heapBytes();
    const auto count = static_cast<double>(table.stats().flows);
    state.counters["slot_bytes_per_flow"] = static_cast<double>(table.stats().slotBytes) / count;
    state.counters["heap_bytes_per_flow"] = static_cast<double>(after - before) / count;
  }
  state.SetItemsProcessed(static_cast<int64_t>(flows) * static_cast<int64_t>(state.iterations()));
}
BENCHMARK(insertFlows)
    ->Arg(1000)
    ->Arg(100000)
    ->Arg(400000)
    ->Arg(500000)
    ->Unit(benchmark::kMillisecond);

/** For comparison: the same entries in std::unordered_map. */
void insertIntoStandardMap(benchmark::State& state) {
  struct Value {
    uint32_t lastSeen;
    uint16_t hostSlot;
    uint16_t source;
  };
  const auto flows = static_cast<uint64_t>(state.range(0));
  for (auto _ : state) {
    const size_t before = heapBytes();
    std::unordered_map<FlowHash, Value> table;
    for (uint64_t number = 0; number < flows; ++number) {
      table.emplace(flowHashOf(number), Value{});
    }
    state.counters["heap_bytes_per_flow"] =
        static_cast<double>(heapBytes() - before) / static_cast<double>(flows);
  }
}
BENCHMARK(insertIntoStandardMap)->Arg(500000)->Unit(benchmark::kMillisecond);

/** Handles a packet of a known flow. */
void touchFlow(benchmark::State& state) {
  constexpr uint64_t kFlows = 500000;
  FlowTable table(tableOptions());
  fill(table, kFlows);
  uint64_t number = 0;
  for (auto _ : state) {
    number = (number + 7919) % kFlows;
    benchmark::DoNotOptimize(table.touch(kNow, static_cast<uint32_t>(number % kShards),
                                         flowHashOf(number), PacketPhase::kContinuing));
  }
}
BENCHMARK(touchFlow);

/** Looks up a flow that is not in the table. */
void missFlow(benchmark::State& state) {
  constexpr uint64_t kFlows = 500000;
  FlowTable table(tableOptions());
  fill(table, kFlows);
  uint64_t number = kFlows;
  for (auto _ : state) {
    ++number;
    benchmark::DoNotOptimize(
        table.find(kNow, static_cast<uint32_t>(number % kShards), flowHashOf(number)));
  }
}
BENCHMARK(missFlow);

/** Inserts new flows from many sources into a full table, as in a flood. */
void insertUnderPressure(benchmark::State& state) {
  constexpr uint64_t kEstablished = 400000;
  FlowTable table(tableOptions());
  fill(table, kEstablished);
  uint64_t number = kEstablished;
  const auto insertNext = [&] {
    ++number;
    NewFlow flow;
    flow.shardSlot = static_cast<uint32_t>(number % kShards);
    flow.flow = flowHashOf(number);
    flow.callerAddress = static_cast<uint32_t>(flow.flow.value);
    return table.insert(kNow, flow);
  };
  while (table.stats().flows < tableOptions().capacity) {
    for (int step = 0; step < 1000; ++step) {
      insertNext();
    }
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(insertNext());
  }
}
BENCHMARK(insertUnderPressure);

/** Worst case of one tick: a full table. */
void sweepTick(benchmark::State& state) {
  constexpr uint64_t kFlows = 500000;
  FlowTable table(tableOptions());
  fill(table, kFlows);
  for (auto _ : state) {
    table.tick(kNow);
  }
}
BENCHMARK(sweepTick);

/** Lists a shard of about 45,000 flows, as its hand-over to another node does. */
void listShard(benchmark::State& state) {
  constexpr uint64_t kFlows = 500000;
  FlowTable table(tableOptions());
  fill(table, kFlows);
  for (auto _ : state) {
    uint64_t sum = 0;
    table.forEach(kNow, 3, [&](const FlowEntry& entry) { sum += entry.flow.value; });
    benchmark::DoNotOptimize(sum);
  }
}
BENCHMARK(listShard)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
