/** @file Tests of the soak's packet codec against the users' example and the system's own parser.
 */
#include "test/soak/world/echo_packet.h"

#include "platform/packet/echo_format.h"

#include <CppUTest/TestHarness.h>

namespace umberhold::soak {
namespace {

EchoPacket sample() {
  EchoPacket packet;
  packet.flags = kSyn;
  packet.sequence = 0x11223344;
  packet.source = 0x64400007;
  packet.sourcePort = 40001;
  packet.target = 0xC6120001;
  packet.targetPort = 443;
  return packet;
}

}  // namespace

TEST_GROUP(EchoPacket){};

TEST(EchoPacket, SystemParsesEncodedPacket) {
  EchoPacket packet = sample();
  packet.flags = kAck;
  packet.echo = 77;
  packet.acknowledged = 9;
  packet.data = "some data";
  const auto parsed = platform::EchoFormat().parse(encodeSealed(packet));
  CHECK_TRUE(isOk(parsed));
  CHECK_TRUE(valueOf(parsed).key.caller == (Endpoint{packet.source, packet.sourcePort}));
  CHECK_TRUE(valueOf(parsed).key.service == (Endpoint{packet.target, packet.targetPort}));
  LONGS_EQUAL(77, valueOf(parsed).token);
  LONGS_EQUAL(packet.sequence, valueOf(parsed).sequence);
  LONGS_EQUAL(9, valueOf(parsed).acknowledged);
  LONGS_EQUAL(9, valueOf(parsed).dataBytes);
}

TEST(EchoPacket, DecodesResetOfTheSystem) {
  const auto reset = platform::EchoFormat().refusal(encodeSealed(sample()));
  const auto packet = decode(valueOf(reset));
  CHECK_TRUE(packet.has_value());
  CHECK_TRUE(packet->has(kRst));
  LONGS_EQUAL(0, packet->sum);
  LONGS_EQUAL(sample().target, packet->source);
  LONGS_EQUAL(sample().sourcePort, packet->targetPort);
}

TEST(EchoPacket, ChecksumCoversEverythingButTheEcho) {
  auto packet = decode(encodeSealed(sample()));
  CHECK_TRUE(isSealed(*packet));
  packet->echo = 5;
  CHECK_TRUE(isSealed(*packet));
  packet->data = "x";
  CHECK_FALSE(isSealed(*packet));
  packet->data.clear();
  packet->targetPort = 444;
  CHECK_FALSE(isSealed(*packet));
}

TEST(EchoPacket, RejectsWrongLengths) {
  const std::string bytes = encodeSealed(sample());
  CHECK_FALSE(decode(bytes.substr(0, 30)).has_value());
  CHECK_FALSE(decode(bytes + "x").has_value());
}

}  // namespace umberhold::soak
