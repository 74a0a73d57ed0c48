/** @file Tests of the envelope: forged, replayed and late datagrams, key rotation. */
#include "common/wire/envelope.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "common/wire/traffic_meter.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

const AuthenticationKey kOldKey{1, "old secret of 16+ bytes"};
const AuthenticationKey kNewKey{2, "new secret of 16+ bytes"};
constexpr NodeId kSender{7};
constexpr uint64_t kStart = 1'700'000'000'000;

KeyRing ringOf(const std::vector<AuthenticationKey>& keys, uint32_t signingId) {
  return valueOf(KeyRing::create(keys, signingId));
}

std::string hexOf(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(Envelope, test::WithoutLeakDetection) {
  KeyRing keys = ringOf({kOldKey}, 1);
  EnvelopeSealer sealer{keys, kSender, kStart};
  EnvelopeOpener opener{keys};

  bool refuses(std::string_view datagram, OpenError error) {
    const auto result = opener.open(datagram);
    return !isOk(result) && errorOf(result) == error;
  }
};

/** RFC 4231, test case 1: the key is twenty bytes 0x0b, the data "Hi There". */
TEST(Envelope, TagMatchesRfc4231TestCase) {
  KeyRing ring = ringOf({{1, std::string(20, '\x0b')}}, 1);
  CHECK(hexOf(ring.tagOf(1, "Hi There")) == "b0344c61d8db38535ca8afceaf0bf12b");
  CHECK(hexOf(ring.tagOf(1, "Hi There")) == "b0344c61d8db38535ca8afceaf0bf12b");
}

TEST(Envelope, OpensSealedDatagram) {
  const std::string datagram = sealer.seal("body");
  const auto opened = opener.open(datagram);
  CHECK(isOk(opened));
  CHECK(valueOf(opened).sender == kSender);
  CHECK_EQUAL(kStart, valueOf(opened).incarnation);
  CHECK(valueOf(opened).body == "body");
  CHECK(datagram.size() <= 4 + kMaxEnvelopeOverhead);
}

TEST(Envelope, RejectsDatagramWithAnyByteChanged) {
  const std::string datagram = sealer.seal("body");
  for (size_t position = 0; position < datagram.size(); ++position) {
    std::string forged = datagram;
    forged[position] = static_cast<char>(forged[position] ^ 1);
    CHECK_FALSE(isOk(opener.open(forged)));
  }
  CHECK(isOk(opener.open(datagram)));
}

TEST(Envelope, RejectsTruncatedAndRandomDatagrams) {
  const std::string datagram = sealer.seal("body");
  for (size_t length = 0; length < datagram.size(); ++length) {
    CHECK(refuses(std::string_view(datagram).substr(0, length), OpenError::kMalformed));
  }
  CHECK(refuses(datagram + "x", OpenError::kMalformed));
  CHECK(rc::check("random bytes never open", [this] {
    RC_ASSERT_FALSE(isOk(opener.open(*rc::gen::arbitrary<std::string>())));
  }));
}

TEST(Envelope, RejectsReplaysAndLowerIncarnations) {
  EnvelopeSealer restarted(keys, kSender, kStart + 1);
  const std::string first = sealer.seal("one");
  const std::string second = sealer.seal("two");
  CHECK(isOk(opener.open(second)));
  CHECK(isOk(opener.open(first)));
  CHECK(refuses(first, OpenError::kReplayed));
  CHECK(isOk(opener.open(restarted.seal("three"))));
  CHECK(refuses(sealer.seal("four"), OpenError::kTooOld));
  CHECK_EQUAL(1U, opener.refused(OpenError::kReplayed));
  CHECK_EQUAL(1U, opener.refused(OpenError::kTooOld));
}

TEST(Envelope, RejectsDatagramsBehindTheWindow) {
  const std::string late = sealer.seal("late");
  const std::string justInTime = sealer.seal("just in time");
  for (uint64_t count = 0; count < kReplayWindow - 1; ++count) {
    CHECK(isOk(opener.open(sealer.seal("later"))));
  }
  CHECK(refuses(late, OpenError::kTooOld));
  CHECK(isOk(opener.open(justInTime)));
}

TEST(Envelope, AcceptsEachSequenceNumberOnce) {
  CHECK(rc::check("a guard takes each number of a sender at most once", [] {
    ReplayGuard guard;
    std::vector<bool> taken(600, false);
    for (int count = 0; count < 400; ++count) {
      const uint64_t sequence = *rc::gen::inRange<uint64_t>(0, taken.size());
      const bool fresh = guard.check(kSender, kStart, sequence) == ReplayVerdict::kFresh;
      RC_ASSERT_FALSE(fresh && taken[sequence]);
      taken[sequence] = taken[sequence] || fresh;
    }
  }));
}

TEST(Envelope, LimitsNumberOfTrackedSenders) {
  ReplayGuard guard;
  for (uint32_t node = 0; node < kMaxSenders + 10; ++node) {
    CHECK(guard.check(NodeId{node}, kStart, 1) == ReplayVerdict::kFresh);
  }
  CHECK_EQUAL(kMaxSenders, guard.senders());
  CHECK(guard.check(NodeId{kMaxSenders}, kStart, 1) == ReplayVerdict::kRepeated);
}

TEST(Envelope, KeyRotationRejectsNoDatagram) {
  KeyRing both = ringOf({kOldKey, kNewKey}, 1);
  KeyRing bothSigningNew = ringOf({kOldKey, kNewKey}, 2);
  KeyRing onlyNew = ringOf({kNewKey}, 2);
  EnvelopeSealer newSealer(bothSigningNew, NodeId{8}, kStart);
  EnvelopeOpener bothOpener(both);
  EnvelopeOpener newOpener(onlyNew);
  CHECK(isOk(bothOpener.open(sealer.seal("old key"))));
  CHECK(isOk(bothOpener.open(newSealer.seal("new key"))));
  CHECK(isOk(newOpener.open(newSealer.seal("new key"))));
  CHECK(errorOf(newOpener.open(sealer.seal("old key"))) == OpenError::kUnknownKey);
}

TEST(Envelope, RejectsDifferentSecretWithSameKeyId) {
  KeyRing foreign = ringOf({{1, "some other 16+ byte secret"}}, 1);
  EnvelopeSealer forger(foreign, kSender, kStart + 1);
  CHECK(refuses(forger.seal("body"), OpenError::kBadTag));
  CHECK(isOk(opener.open(sealer.seal("body"))));
}

TEST(Envelope, RejectsInvalidKeyRings) {
  CHECK(errorOf(KeyRing::create({}, 1)) == KeyRingError::kNoKeys);
  CHECK(errorOf(KeyRing::create({{1, "short"}}, 1)) == KeyRingError::kSecretTooShort);
  CHECK(errorOf(KeyRing::create({kOldKey, kOldKey}, 1)) == KeyRingError::kDuplicateId);
  CHECK(errorOf(KeyRing::create({kOldKey}, 2)) == KeyRingError::kSigningKeyMissing);
}

TEST(Envelope, TrafficMeterIncludesHeaders) {
  TrafficMeter meter;
  meter.countSent(trafficClassOf(Message{Ping{}}), 100);
  meter.countReceived(trafficClassOf(Message{LoadShare{}}), 50);
  CHECK(meter.sent(TrafficClass::kMembership) == (TrafficCount{1, 128}));
  CHECK(meter.received(TrafficClass::kLoad) == (TrafficCount{1, 78}));
  CHECK(meter.sent(TrafficClass::kLoad) == TrafficCount{});
}
