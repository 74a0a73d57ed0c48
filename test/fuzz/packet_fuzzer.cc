/**
 * @file Fuzzes the packet path with a flow table behind it.
 *
 * The first input byte selects the decision of the director, the others are the packet. Checked
 * properties: no input causes a crash; each packet has exactly one outcome; the output is either
 * the packet itself, with a lower TTL if it is relayed to another node, or a well-formed reply.
 */
#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>
#include <string_view>

#include "common/flow/flow_table.h"
#include "common/packet/packet_parser.h"
#include "common/packet/packet_path.h"
#include "test/fuzz/fuzz_check.h"

using namespace umberhold;

namespace {

/** Resolves every address to a service. */
class AnyService : public ServiceLookup {
 public:
  std::optional<ServiceMatch> find(uint32_t address, uint16_t, TransportProtocol) const override {
    return ServiceMatch{ServiceId{1}, (address & 1U) != 0};
  }
};

/** Tracks flows in a small table and returns the decision that the input selects. */
class TableDirector : public FlowDirector {
 public:
  TableDirector() : table_(options()), shard_(table_.addShard(kIdleTimeoutSeconds)) {}

  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view) override {
    table_.tick(now);
    if (!table_.touch(now, shard_, packet.hash, packet.phase)) {
      NewFlow flow;
      flow.shardSlot = shard_;
      flow.flow = packet.hash;
      flow.phase = packet.phase;
      flow.callerAddress = packet.key.caller.address;
      const auto inserted = table_.insert(now, flow);
      if (!isOk(inserted)) {
        return DropPacket{errorOf(inserted)};
      }
    }
    FUZZ_CHECK(table_.stats().flows <= options().capacity);
    return decision;
  }

  FlowDecision decision;

 private:
  static constexpr uint32_t kIdleTimeoutSeconds = 100;

  static FlowTableOptions options() {
    FlowTableOptions options;
    options.capacity = 64;
    options.sourceLimits = SourceLimits{16, 32};
    return options;
  }

  FlowTable table_;
  uint32_t shard_;
};

/** Checks the packets that leave the packet path. */
class CheckingOutput : public PacketOutput {
 public:
  void sendToHost(const Endpoint&, std::string_view packet) override {
    FUZZ_CHECK(input.substr(0, packet.size()) == packet);
    FUZZ_CHECK(isOk(parsePacket(packet)));
  }
  void sendToNode(const Endpoint&, std::string_view packet) override {
    const auto before = parsePacket(input);
    const auto after = parsePacket(packet);
    FUZZ_CHECK(isOk(after));
    FUZZ_CHECK(valueOf(after).timeToLive + 1 == valueOf(before).timeToLive);
    FUZZ_CHECK(valueOf(after).key == valueOf(before).key);
  }
  void sendToCaller(const Endpoint& /*caller*/, std::string_view packet) override {
    const auto request = parsePacket(input);
    const auto reply = parsePacket(packet);
    if (valueOf(request).key.protocol == TransportProtocol::kUdp) {
      // The reply is an ICMP message, which parsePacket() does not support.
      FUZZ_CHECK(!isOk(reply) && errorOf(reply) == DropReason::kUnsupportedProtocol);
      return;
    }
    FUZZ_CHECK(isOk(reply) && valueOf(reply).phase == PacketPhase::kReset);
    FUZZ_CHECK(valueOf(request).phase != PacketPhase::kReset);
    FUZZ_CHECK(valueOf(reply).key.caller == valueOf(request).key.service);
    FUZZ_CHECK(valueOf(reply).key.service == valueOf(request).key.caller);
  }
  /** The packet that is being processed. */
  std::string_view input;
};

FlowDecision decisionOf(uint8_t selector) {
  switch (selector % 5) {
    case 0:
      return ForwardToHost{};
    case 1:
      return RelayToNode{};
    case 2:
      return RefuseFlow{};
    case 3:
      return HoldPacket{};
    default:
      return DropPacket{DropReason::kNoHost};
  }
}

/** @return the number of packets with an outcome. */
uint64_t outcomeCount(const PacketCounters& counters) {
  const uint64_t dropped =
      std::accumulate(counters.dropped.begin(), counters.dropped.end(), uint64_t{0});
  return counters.forwarded + counters.relayed + counters.refused + counters.held + dropped;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const AnyService services;
  static TableDirector director;
  static CheckingOutput output;
  static PacketPath path(services, director, output);
  static TimePoint now{std::chrono::seconds(1)};
  if (size == 0) {
    return 0;
  }
  path.setReady(true);
  now += std::chrono::seconds(1);
  director.decision = decisionOf(data[0]);
  output.input = std::string_view(reinterpret_cast<const char*>(data) + 1, size - 1);
  const uint64_t before = outcomeCount(path.counters());
  path.onPacket(now, PacketSource::kFabric, output.input);
  FUZZ_CHECK(outcomeCount(path.counters()) == before + 1);
  return 0;
}
