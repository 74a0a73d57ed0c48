/** @file Tests of the codec: round trips and malformed input. */
#include "common/wire/codec.h"

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

/** Fills structs that have visitFields with random content. */
class RandomFiller {
 public:
  template <class... Fields>
  void operator()(Fields&... fields) {
    (fill(fields), ...);
  }

 private:
  template <class Type>
  void fill(Type& value) {
    if constexpr (requires { value.visitFields(*this); }) {
      value.visitFields(*this);
    } else {
      value = *rc::gen::arbitrary<Type>();
    }
  }
  void fill(ObjectKind& kind) {
    kind = *rc::gen::element(ObjectKind::kService, ObjectKind::kPolicy);
  }
  void fill(TransportProtocol& protocol) {
    protocol = *rc::gen::element(TransportProtocol::kTcp, TransportProtocol::kUdp);
  }
  void fill(HostState& state) {
    state = *rc::gen::element(HostState::kActive, HostState::kDraining);
  }
  void fill(MemberState& state) {
    state = *rc::gen::element(MemberState::kJoining, MemberState::kDead, MemberState::kLeaving);
  }
  void fill(HeldRole& role) { role = *rc::gen::element(HeldRole::kNothing, HeldRole::kStillOwner); }
  void fill(SnapshotPurpose& purpose) {
    purpose = *rc::gen::element(SnapshotPurpose::kTakeover, SnapshotPurpose::kReplica);
  }
  template <class Element>
  void fill(std::vector<Element>& elements) {
    elements.resize(*rc::gen::inRange(0, 6));
    for (Element& element : elements) {
      fill(element);
    }
  }
};

template <size_t Index = 0>
MessageBody emptyBody(size_t index) {
  if constexpr (Index + 1 < std::variant_size_v<MessageBody>) {
    if (index != Index) {
      return emptyBody<Index + 1>(index);
    }
  }
  return MessageBody(std::in_place_index<Index>);
}

Message randomMessage() {
  Message message{emptyBody(*rc::gen::inRange<size_t>(0, std::variant_size_v<MessageBody>))};
  RandomFiller filler;
  std::visit([&filler](auto& body) { body.visitFields(filler); }, message.body);
  return message;
}

DecodeErrorCode failureOf(std::string_view bytes) {
  const auto result = decode(bytes);
  return isOk(result) ? DecodeErrorCode::kCount : errorOf(result).code;
}

bool refusedOrEncodable(const Result<Message, DecodeError>& decoded) {
  return !isOk(decoded) || isOk(encode(valueOf(decoded)));
}

std::string bytesOf(std::initializer_list<unsigned char> bytes) {
  return {bytes.begin(), bytes.end()};
}

}  // namespace

TEST_GROUP(Codec){};

/** Without leak detection, because rapidcheck keeps state between the cases of a property. */
TEST_GROUP_BASE(CodecProperties, test::WithoutLeakDetection){};

TEST(CodecProperties, MessagesRoundTrip) {
  CHECK(rc::check("decode(encode(message)) encodes to the same bytes", [] {
    const Message message = randomMessage();
    const auto bytes = encode(message);
    RC_ASSERT(isOk(bytes));
    const auto decoded = decode(valueOf(bytes));
    RC_ASSERT(isOk(decoded));
    RC_ASSERT(valueOf(decoded).body.index() == message.body.index());
    RC_ASSERT(valueOf(encode(valueOf(decoded))) == valueOf(bytes));
  }));
}

TEST(CodecProperties, ServicesRoundTrip) {
  CHECK(rc::check("decodeService(encodeService(service)) == service", [] {
    Service service;
    RandomFiller filler;
    service.visitFields(filler);
    const auto bytes = encodeService(service);
    RC_ASSERT(isOk(bytes));
    const auto decoded = decodeService(valueOf(bytes));
    RC_ASSERT(isOk(decoded));
    RC_ASSERT(valueOf(decoded) == service);
  }));
}

TEST(CodecProperties, PeerChangesRoundTrip) {
  CHECK(rc::check("decodePeerChanges(encodePeerChanges(changes)) == changes", [] {
    PeerChanges changes;
    RandomFiller filler;
    changes.visitFields(filler);
    const auto bytes = encodePeerChanges(changes);
    RC_ASSERT(isOk(bytes));
    const auto decoded = decodePeerChanges(valueOf(bytes));
    RC_ASSERT(isOk(decoded));
    RC_ASSERT(valueOf(decoded) == changes);
    const std::string cut = valueOf(bytes).substr(0, valueOf(bytes).size() - 1);
    RC_ASSERT(!isOk(decodePeerChanges(cut)));
  }));
}

TEST(CodecProperties, HostCopyPartsRoundTrip) {
  CHECK(rc::check("decodeHostCopyPart(encodeHostCopyPart(part)) == part", [] {
    HostCopyPart part;
    RandomFiller filler;
    part.visitFields(filler);
    const auto bytes = encodeHostCopyPart(part);
    RC_ASSERT(isOk(bytes));
    const auto decoded = decodeHostCopyPart(valueOf(bytes));
    RC_ASSERT(isOk(decoded));
    RC_ASSERT(valueOf(decoded) == part);
  }));
}

TEST(Codec, DecodesPeerChangesWithoutOptionalFields) {
  PeerChanges changes;
  HostEvent event;
  event.host.name = "i-1";
  event.version = 5;
  event.madeAt = 4;
  changes.events.push_back(event);
  const auto encoded = encodePeerChanges(changes);
  std::string earlier = valueOf(encoded);
  // The host is an array of 12 elements, the last of which is its start time, 0; the remaining
  // fields of the event follow.
  const size_t header = earlier.find("\x9C\xA3i-1");
  const size_t birth = earlier.find(std::string("\x00\x05\x04\xC2", 4));
  CHECK_TRUE(header != std::string::npos && birth != std::string::npos);
  earlier[header] = '\x9B';
  earlier.erase(birth, 1);
  // The answer is an array of 15 elements, the last four of which are the speeds (an empty list),
  // the snapshot offer (none), the progress and the gaps.
  const std::string optional("\x90\x92\x00\x00\x00\x90", 6);
  CHECK_EQUAL('\x9F', earlier.front());
  CHECK_TRUE(earlier.substr(earlier.size() - optional.size()) == optional);
  earlier.front() = '\x9B';
  earlier.erase(earlier.size() - optional.size());
  const auto decoded = decodePeerChanges(earlier);
  CHECK_TRUE(isOk(decoded));
  CHECK_TRUE(valueOf(decoded) == changes);
  // The field before the optional ones is required.
  earlier[header] = '\x9A';
  earlier.erase(birth - 1, 1);
  CHECK_FALSE(isOk(decodePeerChanges(earlier)));
}

TEST(CodecProperties, RejectsTruncatedMessages) {
  CHECK(rc::check("no prefix of a message decodes", [] {
    const std::string bytes = valueOf(encode(randomMessage()));
    const size_t length = *rc::gen::inRange<size_t>(0, bytes.size());
    RC_ASSERT(failureOf(std::string_view(bytes).substr(0, length)) != DecodeErrorCode::kCount);
  }));
}

TEST(CodecProperties, RejectsOrDecodesRandomAndCorruptedBytes) {
  CHECK(rc::check("a corrupted message is refused or decodes to something encodable", [] {
    std::string bytes = valueOf(encode(randomMessage()));
    const size_t position = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[position] = *rc::gen::arbitrary<char>();
    const auto decoded = decode(bytes);
    RC_ASSERT(refusedOrEncodable(decoded));
  }));
  CHECK(rc::check("random bytes are refused or decode to something encodable", [] {
    const auto decoded = decode(*rc::gen::arbitrary<std::string>());
    RC_ASSERT(refusedOrEncodable(decoded));
  }));
}

TEST(Codec, RejectsDeclaredLengthsBeyondTheInput) {
  CHECK(failureOf(bytesOf({0xDD, 0xFF, 0xFF, 0xFF, 0xFF})) == DecodeErrorCode::kTooManyElements);
  CHECK(failureOf(bytesOf({0xDD, 0x00, 0x00, 0xFF, 0xFF, 0x00})) ==
        DecodeErrorCode::kTooManyElements);
  CHECK(failureOf(bytesOf({0x91, 0xDB, 0x7F, 0xFF, 0xFF, 0xFF})) == DecodeErrorCode::kTruncated);
}

TEST(Codec, RejectsExcessiveNesting) {
  CHECK(failureOf(std::string(1000, '\x91')) == DecodeErrorCode::kTooDeep);
}

TEST(Codec, RejectsTypesThatMessagesNeverUse) {
  CHECK(failureOf("") == DecodeErrorCode::kTruncated);
  CHECK(failureOf(bytesOf({0x81, 0x00, 0x00})) == DecodeErrorCode::kMalformed);
  CHECK(failureOf(bytesOf({0xC1})) == DecodeErrorCode::kMalformed);
  CHECK(failureOf(bytesOf({0x00})) == DecodeErrorCode::kWrongType);
  CHECK(failureOf(bytesOf({0x90})) == DecodeErrorCode::kMissingField);
  CHECK(failureOf(bytesOf({0x91, 0xCC, 0xFF})) == DecodeErrorCode::kUnknownMessage);
  CHECK(failureOf(bytesOf({0x91, 0xC0})) == DecodeErrorCode::kWrongType);
}

TEST(Codec, RejectsTrailingBytes) {
  const std::string bytes = valueOf(encode(Message{SnapshotAck{}}));
  CHECK(failureOf(bytes + '\0') == DecodeErrorCode::kTrailingBytes);
}

/** SnapshotAck is [number, [service, index], purpose, attempt, next]: 0x95, number, 0x92, five 0.
 */
TEST(Codec, ReportsIndexOfInvalidField) {
  const std::string bytes = valueOf(encode(Message{SnapshotAck{}}));
  CHECK_EQUAL(8U, bytes.size());
  std::string wrongType = bytes;
  wrongType[7] = '\xC0';
  CHECK(errorOf(decode(wrongType)) == (DecodeError{DecodeErrorCode::kWrongType, 4}));
}

TEST(Codec, RejectsIntegersOutOfRange) {
  const std::string bytes = valueOf(encode(Message{SnapshotAck{}}));
  std::string tooWide = bytes;
  tooWide.replace(4, 1, bytesOf({0xCE, 0x00, 0x01, 0x00, 0x00}));
  CHECK(failureOf(tooWide) == DecodeErrorCode::kOutOfRange);
  std::string negative = bytes;
  negative[7] = '\xFF';
  CHECK(failureOf(negative) == DecodeErrorCode::kOutOfRange);
}

TEST(Codec, RejectsInvalidEnumValuesInBothDirections) {
  Service service;
  service.protocol = static_cast<TransportProtocol>(7);
  CHECK(errorOf(encodeService(service)).code == EncodeErrorCode::kInvalidEnum);
  service.protocol = TransportProtocol::kTcp;
  std::string bytes = valueOf(encodeService(service));
  bytes[5] = '\x07';
  CHECK(errorOf(decodeService(bytes)) == (DecodeError{DecodeErrorCode::kInvalidEnum, 4}));
}

TEST(Codec, IgnoresAppendedFieldsAndRejectsMissingOnes) {
  std::string newer = valueOf(encodePolicy(Policy{"drain", "x"}));
  newer[0] = '\x93';
  newer += '\x2A';
  CHECK(valueOf(decodePolicy(newer)) == (Policy{"drain", "x"}));
  const std::string older = bytesOf({0x91, 0xA1, 'a'});
  CHECK(errorOf(decodePolicy(older)) == (DecodeError{DecodeErrorCode::kMissingField, 1}));
}
