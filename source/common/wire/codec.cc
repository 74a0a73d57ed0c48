/** @file The message codec, generic over visitFields. */
#include "common/wire/codec.h"

#include <array>
#include <utility>

#include "common/wire/field_reader.h"
#include "common/wire/field_writer.h"
#include "common/wire/payload_compression.h"

namespace umberhold {
namespace {

using wire_internal::FieldReader;
using wire_internal::FieldWriter;

/** Size of the first memory chunk for parsing; enough for most messages. */
constexpr size_t kZoneChunkBytes = 2048;
/** Initially reserved size of an encoded message. */
constexpr size_t kTypicalMessageBytes = 256;

Result<std::string, EncodeError> finish(std::string output, const FieldWriter& writer) {
  if (writer.error()) {
    return *writer.error();
  }
  if (output.size() > kMaxEncodedBytes) {
    return EncodeError{EncodeErrorCode::kTooLong};
  }
  return output;
}

template <class Struct>
Result<std::string, EncodeError> encodeStruct(const Struct& value) {
  std::string output;
  output.reserve(kTypicalMessageBytes);
  FieldWriter writer(output);
  writer.write(value);
  return finish(std::move(output), writer);
}

template <class Struct>
Result<Struct, DecodeError> decodeStruct(std::string_view bytes) {
  msgpack::zone zone(kZoneChunkBytes);
  const auto object = wire_internal::parse(bytes, zone);
  if (!isOk(object)) {
    return errorOf(object);
  }
  Struct value;
  FieldReader reader;
  if (!reader.readStruct(valueOf(object), value)) {
    return *reader.error();
  }
  return value;
}

/** Objects are stored and sent compressed, because every node holds all of them. */
template <class Struct>
Result<std::string, EncodeError> encodeObject(const Struct& value,
                                              CompressionEffort effort = CompressionEffort::kBest) {
  auto encoded = encodeStruct(value);
  if (!isOk(encoded)) {
    return encoded;
  }
  return compressPayload(std::move(valueOf(encoded)), effort);
}

template <class Struct>
Result<Struct, DecodeError> decodeObject(std::string_view payload) {
  if (!isCompressedPayload(payload)) {
    return decodeStruct<Struct>(payload);
  }
  const auto decompressed = decompressPayload(payload);
  if (!isOk(decompressed)) {
    return errorOf(decompressed);
  }
  return decodeStruct<Struct>(valueOf(decompressed));
}

using BodyDecoder = Result<Message, DecodeError> (*)(const msgpack::object&);

template <size_t Index>
Result<Message, DecodeError> decodeBody(const msgpack::object& object) {
  Message message{MessageBody(std::in_place_index<Index>)};
  FieldReader reader;
  if (!reader.readStruct(object, std::get<Index>(message.body), 1)) {
    return *reader.error();
  }
  return message;
}

template <size_t... Indices>
constexpr std::array<BodyDecoder, sizeof...(Indices)> bodyDecoders(
    std::index_sequence<Indices...> /*indices*/) {
  return {decodeBody<Indices>...};
}

constexpr auto kBodyDecoders =
    bodyDecoders(std::make_index_sequence<std::variant_size_v<MessageBody>>{});

Result<Message, DecodeError> decodeMessage(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) {
    return DecodeError{DecodeErrorCode::kWrongType};
  }
  const msgpack::object_array array = object.via.array;
  if (array.size == 0) {
    return DecodeError{DecodeErrorCode::kMissingField};
  }
  if (array.ptr[0].type != msgpack::type::POSITIVE_INTEGER) {
    return DecodeError{DecodeErrorCode::kWrongType};
  }
  const uint64_t number = array.ptr[0].via.u64;
  if (number >= kBodyDecoders.size()) {
    return DecodeError{DecodeErrorCode::kUnknownMessage};
  }
  return kBodyDecoders[number](object);
}

}  // namespace

Result<std::string, EncodeError> encode(const Message& message) {
  std::string output;
  output.reserve(kTypicalMessageBytes);
  FieldWriter writer(output);
  writer.setPrefix(static_cast<uint32_t>(message.body.index()));
  std::visit([&writer](const auto& body) { writer.write(body); }, message.body);
  return finish(std::move(output), writer);
}

Result<Message, DecodeError> decode(std::string_view bytes) {
  msgpack::zone zone(kZoneChunkBytes);
  const auto object = wire_internal::parse(bytes, zone);
  if (!isOk(object)) {
    return errorOf(object);
  }
  return decodeMessage(valueOf(object));
}

Result<std::string, EncodeError> encodeService(const Service& service) {
  return encodeObject(service);
}
Result<Service, DecodeError> decodeService(std::string_view payload) {
  return decodeObject<Service>(payload);
}

Result<std::string, EncodeError> encodePolicy(const Policy& policy) {
  return encodeObject(policy);
}
Result<Policy, DecodeError> decodePolicy(std::string_view payload) {
  return decodeObject<Policy>(payload);
}

Result<std::string, EncodeError> encodeRegionContacts(const RegionContacts& contacts) {
  return encodeStruct(contacts);
}
Result<RegionContacts, DecodeError> decodeRegionContacts(std::string_view payload) {
  return decodeStruct<RegionContacts>(payload);
}

Result<std::string, EncodeError> encodePeerChanges(const PeerChanges& changes) {
  return encodeObject(changes, CompressionEffort::kFast);
}
Result<PeerChanges, DecodeError> decodePeerChanges(std::string_view bytes) {
  return decodeObject<PeerChanges>(bytes);
}

Result<std::string, EncodeError> encodeHostCopyPart(const HostCopyPart& part) {
  return encodeObject(part, CompressionEffort::kFast);
}
Result<HostCopyPart, DecodeError> decodeHostCopyPart(std::string_view bytes) {
  return decodeObject<HostCopyPart>(bytes);
}

Result<std::string, EncodeError> encodeHostReport(const HostReport& report) {
  return encodeStruct(report);
}
Result<HostReport, DecodeError> decodeHostReport(std::string_view bytes) {
  return decodeStruct<HostReport>(bytes);
}

}  // namespace umberhold
