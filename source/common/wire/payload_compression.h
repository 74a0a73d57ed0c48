/**
 * @file Compression of configuration objects, which are sent to and stored by every node.
 *
 * Raw deflate (RFC 1951) with a fixed dictionary that resembles a short service. A compressed
 * payload begins with a byte that no msgpack value begins with, followed by the number of the
 * dictionary, so uncompressed payloads remain decodable. The dictionary of a number must never
 * change, because nodes of different versions decode each other's payloads.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/wire/codec_error.h"

namespace umberhold {

/** Minimum size of a payload to be compressed, bytes; smaller ones would gain little. */
constexpr size_t kMinCompressedBytes = 96;

/** Trade-off between processor time and size. */
enum class CompressionEffort : uint8_t {
  /** For data that is encoded again after each change and sent to a few nearby nodes. */
  kFast,
  /** For data that every node stores and sends. */
  kBest,
};

/** @return the compressed payload, or the payload itself if compression does not make it shorter.
 */
std::string compressPayload(std::string payload,
                            CompressionEffort effort = CompressionEffort::kBest);
/** @return whether the bytes have the marker of a compressed payload. */
bool isCompressedPayload(std::string_view bytes);
/**
 * Decompresses untrusted bytes; uncompressed ones are returned unchanged.
 * @param maxBytes maximum size of the payload.
 * @return the payload; kTooLong if it is larger.
 */
Result<std::string, DecodeError> decompressPayload(std::string_view bytes,
                                                   size_t maxBytes = kMaxEncodedBytes);

}  // namespace umberhold
