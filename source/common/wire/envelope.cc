/** @file Creation and authentication of datagrams. */
#include "common/wire/envelope.h"

#include "common/base/constant_time.h"
#include "common/wire/field_reader.h"
#include "common/wire/field_writer.h"

namespace umberhold {
namespace {

using wire_internal::StringStream;

/** Number of fields, the tag included. */
constexpr uint32_t kEnvelopeFields = 7;
/** Msgpack header of the tag: bin 8 and its length. */
constexpr std::string_view kTagHeader("\xC4\x10", 2);
constexpr size_t kTagFieldBytes = kTagHeader.size() + kTagBytes;
/** Size of the first memory chunk for the parsed header. */
constexpr size_t kZoneChunkBytes = 512;

/** Indices of the fields. */
enum Field : uint8_t { kVersion, kKeyId, kSender, kIncarnation, kSequence, kBody, kTag };

bool isUnsigned(const msgpack::object& object, uint64_t limit) {
  return object.type == msgpack::type::POSITIVE_INTEGER && object.via.u64 <= limit;
}

/** @return whether the object is an envelope in exactly the encoding that seal() writes. */
bool hasEnvelopeFields(const msgpack::object& object, std::string_view datagram) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != kEnvelopeFields) {
    return false;
  }
  const msgpack::object* fields = object.via.array.ptr;
  return isUnsigned(fields[kVersion], UINT8_MAX) && isUnsigned(fields[kKeyId], UINT32_MAX) &&
         isUnsigned(fields[kSender], UINT32_MAX) && isUnsigned(fields[kIncarnation], UINT64_MAX) &&
         isUnsigned(fields[kSequence], UINT64_MAX) && fields[kBody].type == msgpack::type::BIN &&
         datagram.substr(datagram.size() - kTagFieldBytes, kTagHeader.size()) == kTagHeader;
}

OpenedEnvelope envelopeOf(const msgpack::object* fields) {
  OpenedEnvelope envelope;
  envelope.sender = NodeId{static_cast<uint32_t>(fields[kSender].via.u64)};
  envelope.incarnation = fields[kIncarnation].via.u64;
  envelope.sequence = fields[kSequence].via.u64;
  envelope.body = std::string_view(fields[kBody].via.bin.ptr, fields[kBody].via.bin.size);
  return envelope;
}

}  // namespace

std::string_view toString(OpenError error) {
  switch (error) {
    case OpenError::kMalformed:
      return "malformed";
    case OpenError::kUnsupportedVersion:
      return "unsupported_version";
    case OpenError::kUnknownKey:
      return "unknown_key";
    case OpenError::kBadTag:
      return "bad_tag";
    case OpenError::kReplayed:
      return "replayed";
    case OpenError::kTooOld:
      return "too_old";
    case OpenError::kCount:
      break;
  }
  return "unknown";
}

EnvelopeSealer::EnvelopeSealer(KeyRing& keys, NodeId self, uint64_t incarnation)
    : keys_(keys), self_(self), incarnation_(incarnation) {}

std::string EnvelopeSealer::seal(std::string_view body) {
  std::string datagram;
  datagram.reserve(body.size() + kMaxEnvelopeOverhead);
  StringStream stream(datagram);
  msgpack::packer<StringStream> packer(stream);
  packer.pack_array(kEnvelopeFields);
  packer.pack_uint8(kEnvelopeVersion);
  packer.pack_uint32(keys_.signingId());
  packer.pack_uint32(self_.value);
  packer.pack_uint64(incarnation_);
  packer.pack_uint64(++sequence_);
  packer.pack_bin(static_cast<uint32_t>(body.size()));
  packer.pack_bin_body(body.data(), static_cast<uint32_t>(body.size()));
  const std::string tag = keys_.tagOf(keys_.signingId(), datagram);
  datagram.append(kTagHeader).append(tag);
  return datagram;
}

EnvelopeOpener::EnvelopeOpener(KeyRing& keys) : keys_(keys) {}

Result<OpenedEnvelope, OpenError> EnvelopeOpener::open(std::string_view datagram) {
  auto result = authenticate(datagram);
  if (isOk(result)) {
    result = checkReplay(valueOf(result));
  }
  if (!isOk(result)) {
    ++refused_[static_cast<size_t>(errorOf(result))];
  }
  return result;
}

Result<OpenedEnvelope, OpenError> EnvelopeOpener::authenticate(std::string_view datagram) {
  if (datagram.size() <= kTagFieldBytes) {
    return OpenError::kMalformed;
  }
  msgpack::zone zone(kZoneChunkBytes);
  const auto parsed = wire_internal::parse(datagram, zone);
  if (!isOk(parsed) || !hasEnvelopeFields(valueOf(parsed), datagram)) {
    return OpenError::kMalformed;
  }
  const msgpack::object* fields = valueOf(parsed).via.array.ptr;
  if (fields[kVersion].via.u64 != kEnvelopeVersion) {
    return OpenError::kUnsupportedVersion;
  }
  const auto keyId = static_cast<uint32_t>(fields[kKeyId].via.u64);
  if (!keys_.contains(keyId)) {
    return OpenError::kUnknownKey;
  }
  const std::string_view signedPart = datagram.substr(0, datagram.size() - kTagFieldBytes);
  const std::string_view tag = datagram.substr(datagram.size() - kTagBytes);
  if (!equalInConstantTime(keys_.tagOf(keyId, signedPart), tag)) {
    return OpenError::kBadTag;
  }
  return envelopeOf(fields);
}

Result<OpenedEnvelope, OpenError> EnvelopeOpener::checkReplay(const OpenedEnvelope& envelope) {
  switch (replays_.check(envelope.sender, envelope.incarnation, envelope.sequence)) {
    case ReplayVerdict::kRepeated:
      return OpenError::kReplayed;
    case ReplayVerdict::kTooOld:
      return OpenError::kTooOld;
    case ReplayVerdict::kFresh:
      break;
  }
  return envelope;
}

}  // namespace umberhold
