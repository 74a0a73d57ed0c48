/**
 * @file Compression of configuration objects, which are held by every node and travel to every
 * node.
 *
 * Raw deflate (RFC 1951) against a fixed dictionary that looks like a short service. A compressed
 * payload begins with a byte that no msgpack value begins with, and the number of the dictionary,
 * so that plain payloads stay readable. The dictionary of a number must never change: nodes of
 * different versions read each other's payloads.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/wire/codec_error.h"

namespace umberhold {

/** Payloads below this stay plain, bytes: they would gain little. */
constexpr size_t kMinCompressedBytes = 96;

/** How much processor time a few bytes are worth. */
enum class CompressionEffort : uint8_t {
  /** For what is made again at each change and sent to a few nodes nearby. */
  kFast,
  /** For what is held and sent by every node. */
  kBest,
};

/** @return the payload compressed, or as it is where that is not shorter. */
std::string compressPayload(std::string payload,
                            CompressionEffort effort = CompressionEffort::kBest);
/** @return whether the bytes are what compressPayload() makes of a longer payload. */
bool isCompressedPayload(std::string_view bytes);
/** Inverse for bytes of any origin; what is not compressed comes back as it is. The result has
 * kMaxEncodedBytes at most. */
Result<std::string, DecodeError> decompressPayload(std::string_view bytes);

}  // namespace umberhold
