/** @file Tests of the packet parser and of packet modification. */
#include "common/packet/packet_parser.h"

#include <rapidcheck.h>

#include <span>
#include <string>
#include <vector>

#include "common/packet/packet_rewriter.h"
#include "test/common/packet/packet_samples.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace umberhold;

namespace {

std::string withByte(std::string packet, size_t offset, uint8_t value) {
  packet[offset] = static_cast<char>(value);
  return packet;
}

void checkDropped(DropReason expected, const std::string& packet) {
  const auto parsed = parsePacket(packet);
  CHECK_FALSE(isOk(parsed));
  STRCMP_EQUAL(std::string(toString(expected)).c_str(),
               std::string(toString(errorOf(parsed))).c_str());
}

std::span<uint8_t> bytesOf(std::string& packet) {
  return {reinterpret_cast<uint8_t*>(packet.data()), packet.size()};
}

}  // namespace

TEST_GROUP(PacketParser){};

TEST(PacketParser, RejectsInvalidPackets) {
  const std::string tcp = tcpSample(kSyn);
  const std::string udp = udpSample("hello");
  checkDropped(DropReason::kTruncated, "");
  checkDropped(DropReason::kTruncated, tcp.substr(0, 19));
  checkDropped(DropReason::kTruncated, tcp.substr(0, 39));
  checkDropped(DropReason::kTruncated, udp.substr(0, udp.size() - 1));
  checkDropped(DropReason::kNotIpv4, withByte(tcp, 0, 0x65));
  checkDropped(DropReason::kMalformed, withByte(tcp, 0, 0x44));   // header of 16 bytes
  checkDropped(DropReason::kMalformed, withByte(tcp, 0, 0x4F));   // header of 60 bytes
  checkDropped(DropReason::kMalformed, withByte(tcp, 3, 19));     // total length of 19 bytes
  checkDropped(DropReason::kMalformed, withByte(tcp, 3, 0));      // total length of 0
  checkDropped(DropReason::kMalformed, withByte(tcp, 3, 30));     // truncates the TCP header
  checkDropped(DropReason::kMalformed, withByte(tcp, 32, 0x40));  // TCP header of 16 bytes
  checkDropped(DropReason::kMalformed, withByte(tcp, 32, 0xF0));  // TCP header of 60 bytes
  checkDropped(DropReason::kMalformed, withByte(udp, 25, 7));     // UDP length below its header
  checkDropped(DropReason::kMalformed, withByte(udp, 25, 14));    // UDP length beyond the packet
  checkDropped(DropReason::kMalformed, tcpSample(kSyn | kFin));
  checkDropped(DropReason::kMalformed, tcpSample(kSyn | kRst));
  checkDropped(DropReason::kFragment, withByte(tcp, 6, 0x20));  // more fragments
  checkDropped(DropReason::kFragment, withByte(tcp, 7, 0x01));  // offset of 8 bytes
  checkDropped(DropReason::kUnsupportedProtocol, withByte(tcp, 9, 1));
}

TEST(PacketParser, ParsesKeyPhaseAndLengths) {
  const std::string packet = tcpSample(kAck, "data", 9) + "padding";
  const auto parsed = parsePacket(packet);
  CHECK(isOk(parsed));
  CHECK_EQUAL(kSampleCaller, valueOf(parsed).key.caller.address);
  CHECK_EQUAL(kSampleCallerPort, valueOf(parsed).key.caller.port);
  CHECK_EQUAL(kSampleService, valueOf(parsed).key.service.address);
  CHECK_EQUAL(kSampleServicePort, valueOf(parsed).key.service.port);
  CHECK(valueOf(parsed).key.protocol == TransportProtocol::kTcp);
  CHECK_EQUAL(9, valueOf(parsed).timeToLive);
  CHECK_EQUAL(20U, valueOf(parsed).networkHeaderLength);
  CHECK_EQUAL(20U, valueOf(parsed).transportHeaderLength);
  CHECK_EQUAL(44U, valueOf(parsed).totalLength);
}

TEST(PacketParser, DistinguishesPhases) {
  CHECK(valueOf(parsePacket(tcpSample(kSyn))).phase == PacketPhase::kOpening);
  CHECK(valueOf(parsePacket(tcpSample(kSyn | kAck))).phase == PacketPhase::kContinuing);
  CHECK(valueOf(parsePacket(tcpSample(kAck))).phase == PacketPhase::kContinuing);
  CHECK(valueOf(parsePacket(tcpSample(kFin | kAck))).phase == PacketPhase::kClosing);
  CHECK(valueOf(parsePacket(tcpSample(kRst))).phase == PacketPhase::kReset);
  CHECK(valueOf(parsePacket(udpSample("x"))).phase == PacketPhase::kUnmarked);
}

// rapidcheck keeps static objects until the process ends, which the leak detector reports as leaks.
TEST_GROUP(PacketProperty){void setup()
                               override{MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
}
}
;

TEST(PacketProperty, ChangedBytesNeverYieldLengthsBeyondThePacket) {
  CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint8_t>>& changes, uint8_t cut) {
    std::string packet = changes.size() % 2 == 0 ? tcpSample(kAck, "data") : udpSample("data");
    for (const auto& [offset, value] : changes) {
      packet[offset % packet.size()] = static_cast<char>(value);
    }
    packet.resize(packet.size() - cut % 3 * (cut % packet.size()) / 2);
    const auto parsed = parsePacket(packet);
    if (isOk(parsed)) {
      const ParsedPacket& read = valueOf(parsed);
      RC_ASSERT(read.totalLength <= packet.size());
      RC_ASSERT(read.networkHeaderLength + read.transportHeaderLength <= read.totalLength);
    }
  }));
}

TEST(PacketProperty, ChecksumStaysValidWhenTimeToLiveIsDecremented) {
  CHECK(rc::check([](const std::string& data) {
    std::string packet = tcpSample(kAck, data, 255);
    for (int timeToLive = 254; timeToLive >= 1; --timeToLive) {
      RC_ASSERT(decrementTimeToLive(bytesOf(packet)));
      RC_ASSERT(valueOf(parsePacket(packet)).timeToLive == timeToLive);
      RC_ASSERT(hasValidChecksum(packet));
    }
    RC_ASSERT(!decrementTimeToLive(bytesOf(packet)));
  }));
}
