/** @file Time of a policy call, for usual and for malicious policies, and of compiling a policy. */
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "common/policy/lua_policy_engine.h"

using namespace umberhold;

namespace {

const ServiceView kService{"dispatch", 15, 15, 1000, 30000, 0.5};

std::unique_ptr<CompiledPolicy> compile(const std::string& source) {
  auto compiled = LuaPolicyEngine().compile(Policy{"benchmark", source});
  if (!isOk(compiled)) {
    std::cerr << "policy does not compile: " << errorOf(compiled).detail << "\n";
    std::abort();
  }
  return std::move(valueOf(compiled));
}

void weigh(benchmark::State& state, const std::string& body) {
  const auto policy = compile("function weigh(host, service)\n" + body + "\nend");
  HostView host;
  host.name = "dispatch-3";
  host.zone = "zone-2";
  for (auto _ : state) {
    host.load = host.load > 1.0 ? 0.0 : host.load + 0.001;
    benchmark::DoNotOptimize(policy->weigh(host, kService));
  }
}

BENCHMARK_CAPTURE(weigh, constant, "return 1");
BENCHMARK_CAPTURE(weigh, least_load,
                  "if host.draining or not host.healthy then return 0 end\n"
                  "local room = clamp(1 - host.load, 0.05, 1)\n"
                  "return host.weight * room * max(ramp(host.age_seconds, 30), 0.1)");

/** The policy exhausts its limits only for a host name that is not among the samples with which
 * compile() tests a policy; otherwise it would be rejected. */
void hostile(benchmark::State& state, const std::string& body) {
  const auto policy =
      compile("function weigh(host, service)\nif host.name ~= 'victim' then return 1 end\n" + body +
              "\nend");
  HostView host;
  host.name = "victim";
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy->weigh(host, kService));
  }
}

BENCHMARK_CAPTURE(hostile, endless_loop, "while true do end")->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(hostile, doubled_string, "local s = 'x' while true do s = s .. s end")
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(hostile, long_comparisons,
                  "local a = 'x' for i = 1, 14 do a = a .. a end\n"
                  "local b, c = a .. 'y', a .. 'z' while true do local d = b < c end")
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(hostile, string_methods,
                  "local a = 'x' for i = 1, 14 do a = a .. a end\n"
                  "while true do local d = a:upper() end")
    ->Unit(benchmark::kMicrosecond);

/** Also reports the heap size of a compiled policy. */
void compilePolicy(benchmark::State& state) {
  const size_t before = mallinfo2().uordblks;
  const auto compiled = compile("function weigh(host) return host.weight end");
  state.counters["heap_bytes"] = static_cast<double>(mallinfo2().uordblks - before);
  for (auto _ : state) {
    benchmark::DoNotOptimize(compile("function weigh(host) return host.weight end"));
  }
}
BENCHMARK(compilePolicy)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
