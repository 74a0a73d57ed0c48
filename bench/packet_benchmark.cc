/** @file Time that the packet path spends per packet, excluding flow decision and socket I/O. */
#include <benchmark/benchmark.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <string>

#include "common/packet/packet_parser.h"
#include "common/packet/packet_path.h"
#include "common/packet/refusal_builder.h"

using namespace umberhold;

namespace {

constexpr uint16_t kServicePort = 443;
constexpr uint16_t kCallerPort = 40000;

/** @return a TCP packet with this much payload, bytes. */
std::string makePacket(size_t dataLength) {
  Tins::IP ip("198.51.100.1", "10.1.2.3");
  Tins::TCP tcp(kServicePort, kCallerPort);
  tcp.flags(Tins::TCP::ACK);
  Tins::IP packet = ip / tcp;
  if (dataLength > 0) {
    packet /= Tins::RawPDU(std::string(dataLength, 'd'));
  }
  const auto bytes = packet.serialize();
  return {bytes.begin(), bytes.end()};
}

/** Resolves every address to the same service. */
class AnyService : public ServiceLookup {
 public:
  std::optional<ServiceMatch> find(uint32_t, uint16_t, TransportProtocol) const override {
    return ServiceMatch{ServiceId{1}, true};
  }
};

/** Returns the same decision for every packet. */
class FixedDirector : public FlowDirector {
 public:
  explicit FixedDirector(FlowDecision decision) : decision_(decision) {}
  FlowDecision decide(TimePoint, const FlowPacket&, std::string_view) override { return decision_; }

 private:
  FlowDecision decision_;
};

/** Counts the bytes that are sent. */
class CountingOutput : public PacketOutput {
 public:
  void sendToHost(const Endpoint&, std::string_view packet) override { bytes += packet.size(); }
  void sendToNode(const Endpoint&, std::string_view packet) override { bytes += packet.size(); }
  void sendToCaller(const Endpoint& /*caller*/, std::string_view packet) override {
    bytes += packet.size();
  }
  uint64_t bytes = 0;
};

void parse(benchmark::State& state) {
  const std::string packet = makePacket(static_cast<size_t>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(parsePacket(packet));
  }
}
BENCHMARK(parse)->Arg(0)->Arg(100)->Arg(1400);

void passThrough(benchmark::State& state, FlowDecision decision) {
  const std::string packet = makePacket(1400);
  const AnyService services;
  FixedDirector director(decision);
  CountingOutput output;
  PacketPath path(services, director, output);
  path.setReady(true);
  for (auto _ : state) {
    path.onPacket(TimePoint{}, PacketSource::kFabric, packet);
  }
  benchmark::DoNotOptimize(output.bytes);
}
BENCHMARK_CAPTURE(passThrough, to_host, ForwardToHost{});
BENCHMARK_CAPTURE(passThrough, to_node, RelayToNode{});
BENCHMARK_CAPTURE(passThrough, refused, RefuseFlow{});

}  // namespace

BENCHMARK_MAIN();
