/** @file Tests the users' packet format against the bytes of their published example. */
#include "platform/packet/echo_format.h"

#include <CppUTest/TestHarness.h>

namespace umberhold::platform {
namespace {

std::string bytesOf(const std::string& hexadecimal) {
  std::string bytes;
  for (size_t offset = 0; offset + 1 < hexadecimal.size(); offset += 3) {
    bytes.push_back(static_cast<char>(std::stoi(hexadecimal.substr(offset, 2), nullptr, 16)));
  }
  return bytes;
}

const char* const kSynText =
    "a1 b2 c3 d5 80 00 00 00 00 11 22 33 44 00 00 00 00 9c 41 01 bb 64 40 00 07 c6 12 00 01 00 00";
const char* const kResetText =
    "00 00 00 00 04 00 00 00 00 00 00 00 00 00 00 00 00 01 bb 9c 41 c6 12 00 01 64 40 00 07 00 00";
constexpr size_t kFlagsOffset = 4;

}  // namespace

TEST_GROUP(EchoFormat) {
  EchoFormat format;
  std::string syn = bytesOf(kSynText);
  PacketPhase phaseWith(int flags) {
    std::string packet = syn;
    packet[kFlagsOffset] = static_cast<char>(flags);
    return valueOf(format.parse(packet)).phase;
  }
};

TEST(EchoFormat, ParsesThePublishedExample) {
  const auto parsed = format.parse(syn);
  CHECK_TRUE(isOk(parsed));
  const ParsedPacket& packet = valueOf(parsed);
  CHECK_TRUE(packet.key.caller == (Endpoint{0x64400007, 40001}));
  CHECK_TRUE(packet.key.service == (Endpoint{0xC6120001, 443}));
  CHECK_TRUE(packet.phase == PacketPhase::kOpening);
  LONGS_EQUAL(0, packet.token);
  LONGS_EQUAL(syn.size(), packet.totalLength);
  LONGS_EQUAL(0x11223344, packet.sequence);
  LONGS_EQUAL(0, packet.dataBytes);
}

TEST(EchoFormat, ParsesSequenceNumbersOfData) {
  std::string data = syn + "abc";
  data[30] = 3;
  data[16] = 9;
  const auto parsed = format.parse(data);
  LONGS_EQUAL(3, valueOf(parsed).dataBytes);
  LONGS_EQUAL(9, valueOf(parsed).acknowledged);
}

TEST(EchoFormat, DistinguishesPhases) {
  CHECK_TRUE(phaseWith(2) == PacketPhase::kContinuing);
  CHECK_TRUE(phaseWith(2 + 64) == PacketPhase::kClosing);
  CHECK_TRUE(phaseWith(4) == PacketPhase::kReset);
}

TEST(EchoFormat, RejectsPacketsThatNoCallerSends) {
  CHECK_TRUE(errorOf(format.parse(syn.substr(0, 30))) == DropReason::kTruncated);
  CHECK_TRUE(errorOf(format.parse(syn + "x")) == DropReason::kMalformed);
  std::string longer = syn;
  longer[30] = 5;
  CHECK_TRUE(errorOf(format.parse(longer)) == DropReason::kTruncated);
  longer[30] = 0;
  longer[kFlagsOffset] = static_cast<char>(128 + 2);
  CHECK_TRUE(errorOf(format.parse(longer)) == DropReason::kMalformed);
}

TEST(EchoFormat, AddsIncarnationAndTokenAndChangesNothingElse) {
  std::string buffer;
  ForwardToHost decision;
  decision.incarnation = 0x7F3A91C2;
  decision.token = 0xA0B0C0D0;
  const std::string sent(format.rewriteForHost(syn, decision, buffer));
  std::string expected = bytesOf("00 00 00 00 7f 3a 91 c2") + syn;
  expected.replace(8 + 5, 4, bytesOf("a0 b0 c0 d0"));
  CHECK_TRUE(expected == sent);
  LONGS_EQUAL(0xA0B0C0D0, valueOf(format.parse(sent.substr(8))).token);
}

TEST(EchoFormat, RefusesWithAResetNearTheCallersAcknowledgment) {
  CHECK_TRUE(bytesOf(kResetText) == valueOf(format.refusal(syn)));
  std::string later = syn;
  later[kFlagsOffset] = 2;
  later.replace(13, 4, bytesOf("00 01 02 03"));
  CHECK_TRUE(bytesOf("00 01 02 03") == valueOf(format.refusal(later)).substr(9, 4));
  CHECK_TRUE(errorOf(format.refusal(bytesOf(kResetText))) == RefusalError::kIsReset);
}

TEST(EchoFormat, ResetsAFlowWithTheSameBytesAsItsRefusal) {
  const FlowKey key = valueOf(format.parse(syn)).key;
  CHECK_TRUE(bytesOf(kResetText) == valueOf(format.reset(key, 0)));
  CHECK_TRUE(bytesOf("00 01 02 03") == valueOf(format.reset(key, 0x00010203)).substr(9, 4));
}

}  // namespace umberhold::platform
