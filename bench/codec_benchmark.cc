/** @file Time to encode and decode messages. */
#include <benchmark/benchmark.h>

#include "common/wire/codec.h"

using namespace umberhold;

namespace {

Message pingMessage() {
  Ping ping;
  ping.sequence = 4711;
  return Message{ping};
}

Message snapshotOf100Flows() {
  SnapshotChunk chunk;
  for (uint64_t flow = 0; flow < 100; ++flow) {
    chunk.exceptions.push_back({FlowHash{flow * 0x9E3779B97F4A7C15ULL}, 3});
  }
  return Message{chunk};
}

void encodeOne(benchmark::State& state, const Message& message) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(encode(message));
  }
}

void decodeOne(benchmark::State& state, const Message& message) {
  const std::string bytes = valueOf(encode(message));
  for (auto _ : state) {
    benchmark::DoNotOptimize(decode(bytes));
  }
}

}  // namespace

BENCHMARK_CAPTURE(encodeOne, ping, pingMessage());
BENCHMARK_CAPTURE(decodeOne, ping, pingMessage());
BENCHMARK_CAPTURE(encodeOne, snapshot_100_flows, snapshotOf100Flows());
BENCHMARK_CAPTURE(decodeOne, snapshot_100_flows, snapshotOf100Flows());

BENCHMARK_MAIN();
