/** @file Tests of the packet path and of the answers to callers. */
#include "common/packet/packet_path.h"

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <string>
#include <utility>
#include <vector>

#include "common/packet/refusal_builder.h"
#include "test/common/packet/packet_samples.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

const TimePoint kNow{std::chrono::seconds(1)};
constexpr Endpoint kHost{0x7F000001, 9000};
constexpr Endpoint kNode{0x7F000002, 9001};

class OneService : public ServiceLookup {
 public:
  std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                   TransportProtocol protocol) const override {
    const bool known = address == kSampleService && port == kSampleServicePort &&
                       protocol == TransportProtocol::kTcp;
    return known ? std::optional(ServiceMatch{ServiceId{5}, home}) : std::nullopt;
  }
  bool home = true;
};

class FixedDirector : public FlowDirector {
 public:
  FlowDecision decide(TimePoint, const FlowPacket& packet, std::string_view) override {
    packets.push_back(packet);
    return decision;
  }
  FlowDecision decision = ForwardToHost{HostId{1}, kHost};
  std::vector<FlowPacket> packets;
};

class RecordingOutput : public PacketOutput {
 public:
  void sendToHost(const Endpoint& host, std::string_view packet) override {
    hosts.emplace_back(host, packet);
  }
  void sendToNode(const Endpoint& relay, std::string_view packet) override {
    nodes.emplace_back(relay, packet);
  }
  void sendToCaller(const Endpoint& /*caller*/, std::string_view packet) override {
    callers.emplace_back(packet);
  }

  std::vector<std::pair<Endpoint, std::string>> hosts;
  std::vector<std::pair<Endpoint, std::string>> nodes;
  std::vector<std::string> callers;
};

Tins::IP parsed(const std::string& packet) {
  return {reinterpret_cast<const uint8_t*>(packet.data()), static_cast<uint32_t>(packet.size())};
}

}  // namespace

TEST_GROUP(PacketPath) {
  OneService services;
  FixedDirector director;
  RecordingOutput output;
  PacketPath path{services, director, output};

  void setup() override {
    path.setReady(true);
  }

  uint64_t dropped(DropReason reason) const {
    return path.counters().dropped[static_cast<size_t>(reason)];
  }
  size_t sent() const {
    return output.hosts.size() + output.nodes.size() + output.callers.size();
  }
};

TEST(PacketPath, DropsEveryPacketUntilReady) {
  path.setReady(false);
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kSyn));
  path.onPacket(kNow, PacketSource::kPeer, tcpSample(kSyn));
  CHECK_EQUAL(2U, dropped(DropReason::kNotReady));
  CHECK(director.packets.empty());
}

TEST(PacketPath, HoldsPacketsUntilReadyIfConfigured) {
  path.setReady(false);
  path.holdUntilReady();
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kSyn));
  path.onPacket(kNow, PacketSource::kFabric, "no packet");
  CHECK_EQUAL(0U, sent());
  CHECK_EQUAL(1U, path.counters().heldUntilReady);
  CHECK_EQUAL(1U, dropped(DropReason::kNotIpv4));
  path.setReady(true);
  path.releaseHeld(kNow);
  CHECK_EQUAL(1U, output.hosts.size());
  path.releaseHeld(kNow);
  CHECK_EQUAL(1U, output.hosts.size());
  CHECK_EQUAL(0U, dropped(DropReason::kNotReady));
}

TEST(PacketPath, DropsPacketsOfUnknownOrForeignServicesWithoutDirector) {
  path.onPacket(kNow, PacketSource::kFabric, udpSample("to the same port by another protocol"));
  CHECK_EQUAL(1U, dropped(DropReason::kUnknownService));
  services.home = false;
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kSyn));
  CHECK_EQUAL(1U, dropped(DropReason::kWrongRegion));
  path.onPacket(kNow, PacketSource::kFabric, "no packet");
  CHECK_EQUAL(1U, dropped(DropReason::kNotIpv4));
  CHECK(director.packets.empty());
  CHECK_EQUAL(0U, sent());
}

TEST(PacketPath, ForwardsPacketUnchangedWithoutPadding) {
  const std::string packet = tcpSample(kAck, "data");
  path.onPacket(kNow, PacketSource::kPeer, packet + "padding");
  CHECK_EQUAL(1U, output.hosts.size());
  CHECK(output.hosts[0] == std::pair(kHost, packet));
  CHECK(director.packets[0].source == PacketSource::kPeer);
  CHECK(director.packets[0].hash == hashOf(director.packets[0].key));
  CHECK(director.packets[0].service == ServiceId{5});
}

TEST(PacketPath, RelayDecrementsTimeToLiveAndStopsLoops) {
  director.decision = RelayToNode{NodeId{3}, kNode};
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kAck, "data", 2));
  CHECK_EQUAL(1U, output.nodes.size());
  CHECK(output.nodes[0].first == kNode);
  CHECK_EQUAL(1, parsed(output.nodes[0].second).ttl());
  CHECK(hasValidChecksum(output.nodes[0].second));
  path.onPacket(kNow, PacketSource::kPeer, output.nodes[0].second);
  CHECK_EQUAL(1U, output.nodes.size());
  CHECK_EQUAL(1U, dropped(DropReason::kRelayLoop));
  CHECK_EQUAL(1U, path.counters().relayed);
}

TEST(PacketPath, RefusesOpeningPacketWithAcknowledgingReset) {
  director.decision = RefuseFlow{};
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kSyn));
  CHECK_EQUAL(1U, output.callers.size());
  const Tins::IP answer = parsed(output.callers[0]);
  STRCMP_EQUAL("198.51.100.1", answer.src_addr().to_string().c_str());
  STRCMP_EQUAL("10.1.2.3", answer.dst_addr().to_string().c_str());
  const auto& tcp = answer.rfind_pdu<Tins::TCP>();
  CHECK_EQUAL(kRst | kAck, tcp.flags());
  CHECK_EQUAL(0U, tcp.seq());
  CHECK_EQUAL(1001U, tcp.ack_seq());
  CHECK_EQUAL(kSampleServicePort, tcp.sport());
  CHECK_EQUAL(kSampleCallerPort, tcp.dport());
  CHECK(hasValidChecksum(output.callers[0]));
  CHECK_EQUAL(0U, output.hosts.size());
}

TEST(PacketPath, RefusesLaterPacketWithResetAtItsAcknowledgementNumber) {
  const auto answer = buildRefusal(tcpSample(kAck, "data"));
  CHECK(isOk(answer));
  const Tins::IP packet = parsed(valueOf(answer));
  const auto& tcp = packet.rfind_pdu<Tins::TCP>();
  CHECK_EQUAL(kRst, tcp.flags());
  CHECK_EQUAL(2000U, tcp.seq());
}

TEST(PacketPath, NeverAnswersAReset) {
  director.decision = RefuseFlow{};
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kRst));
  CHECK_EQUAL(0U, sent());
  CHECK_EQUAL(1U, path.counters().unanswered);
}

TEST(PacketPath, RefusesDatagramWithQuotingPortUnreachable) {
  const std::string datagram = udpSample("a longer payload");
  const auto answer = buildRefusal(datagram);
  CHECK(isOk(answer));
  const std::string& bytes = valueOf(answer);
  const Tins::IP packet = parsed(bytes);
  const auto& icmp = packet.rfind_pdu<Tins::ICMP>();
  CHECK(icmp.type() == Tins::ICMP::DEST_UNREACHABLE);
  CHECK_EQUAL(3, icmp.code());
  CHECK(bytes.substr(28) == datagram.substr(0, 28));
  CHECK(hasValidChecksum(bytes));
}

TEST(PacketPath, DoesNotAnswerDatagramFromMulticastAddress) {
  std::string datagram = udpSample("x");
  datagram[12] = static_cast<char>(0xE0);  // 224.1.2.3
  const auto answer = buildRefusal(datagram);
  CHECK_FALSE(isOk(answer));
  CHECK(errorOf(answer) == RefusalError::kNoUnicastSource);
}

TEST(PacketPath, ResetsFlowOfDeadHostAtAcknowledgedSequenceNumber) {
  FlowKey key;
  key.caller = {0x0A000001, 40000};
  key.service = {kSampleService, kSampleServicePort};
  path.onReset(kNow, {key, 77, RefusalReason::kHostEnded});
  CHECK_EQUAL(1U, output.callers.size());
  const Tins::IP packet = parsed(output.callers[0]);
  const auto& reset = packet.rfind_pdu<Tins::TCP>();
  CHECK(reset.flags() == Tins::TCP::RST);
  CHECK_EQUAL(77U, reset.seq());
  CHECK_EQUAL(40000, reset.dport());
  CHECK_EQUAL(kSampleServicePort, reset.sport());
  CHECK(hasValidChecksum(output.callers[0]));
  CHECK_EQUAL(1U, path.counters().resetFlows);
  key.protocol = TransportProtocol::kUdp;
  path.onReset(kNow, {key, 77, RefusalReason::kHostEnded});
  CHECK_EQUAL(1U, sent());
  CHECK_EQUAL(1U, path.counters().unanswered);
}

TEST(PacketPath, ReleasedPacketIsProcessedAgain) {
  director.decision = HoldPacket{};
  path.onPacket(kNow, PacketSource::kFabric, tcpSample(kSyn));
  CHECK_EQUAL(1U, path.counters().held);
  CHECK_EQUAL(0U, sent());
  director.decision = ForwardToHost{HostId{1}, kHost};
  path.release(kNow, tcpSample(kSyn), PacketSource::kFabric);
  CHECK_EQUAL(1U, output.hosts.size());
}
