/** @file Time to seal and open datagrams, by body size. */
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "common/wire/envelope.h"

using namespace umberhold;

namespace {

KeyRing makeKeyRing() {
  return valueOf(KeyRing::create({{1, std::string(32, 'k')}}, 1));
}

void seal(benchmark::State& state) {
  KeyRing keyRing = makeKeyRing();
  EnvelopeSealer sealer(keyRing, NodeId{1}, 1'700'000'000'000);
  const std::string body(static_cast<size_t>(state.range(0)), 'b');
  for (auto _ : state) {
    benchmark::DoNotOptimize(sealer.seal(body));
  }
}

void sealAndOpen(benchmark::State& state) {
  KeyRing keyRing = makeKeyRing();
  EnvelopeSealer sealer(keyRing, NodeId{1}, 1'700'000'000'000);
  EnvelopeOpener opener(keyRing);
  const std::string body(static_cast<size_t>(state.range(0)), 'b');
  for (auto _ : state) {
    const std::string datagram = sealer.seal(body);
    benchmark::DoNotOptimize(opener.open(datagram));
  }
}

}  // namespace

BENCHMARK(seal)->Arg(32)->Arg(1200);
BENCHMARK(sealAndOpen)->Arg(32)->Arg(1200);

BENCHMARK_MAIN();
