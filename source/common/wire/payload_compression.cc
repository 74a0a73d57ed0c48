#include "common/wire/payload_compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace umberhold {
namespace {

/** No msgpack value begins with this byte. */
constexpr char kCompressedMarker = '\xC1';
/** Number of kDictionary in the payload. */
constexpr char kDictionaryNumber = '\x01';
constexpr size_t kHeaderBytes = 2;
/** Negative for raw deflate; a window of 8 KiB covers nearly every object and limits memory use. */
constexpr int kWindowBits = -13;
constexpr int kMemoryLevel = 6;
constexpr size_t kChunkBytes = 4096;

/** A service with two hosts as msgpack, with frequent values last. It must never change; see the
 * header. */
constexpr char kDictionaryBytes[] =
    "function weigh(host)\n  return function admit(service)\n"
    "\x99\xA9service-0\xA8region-0\xCE\xC6\x00\x00\x00\xCD\x1F\x90\x11\xA0\xCE\x00\x01\x51\x80"
    "\x03\x9F\x98\xA6host-1\x92\xCE\x0A\x00\x00\x00\xCD\x23\x28\x92\xCE\x0A\x00\x00\x00"
    "\xCD\x23\x29\xA8zone-0-1\x01\x00\xCD\x07\xD0\x64\x06\xA0\xCE\x00\x01\x51\x80\x03\x94"
    "\x98\xA6host-0\x92\xCE\x0A\x00\x00\x00\xCD\x1F\x90\x92\xCE\x0A\x00\x00\x00\xCD\x1F\x91"
    "\xA8zone-0-0\x00\x00\xCD\x07\xD0\x64\x98\xA6host-0\x92\xCE";
constexpr std::string_view kDictionary(kDictionaryBytes, sizeof(kDictionaryBytes) - 1);

const Bytef* bytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

void setInput(z_stream& stream, std::string_view input) {
  // zlib does not write to its input, although the field is not const.
  stream.next_in = const_cast<Bytef*>(bytesOf(input));
  stream.avail_in = static_cast<uInt>(input.size());
}

/** Owns an inflate stream. */
struct Inflation {
  z_stream stream{};
  bool ready = false;

  Inflation() {
    ready = inflateInit2(&stream, kWindowBits) == Z_OK &&
            inflateSetDictionary(&stream, bytesOf(kDictionary),
                                 static_cast<uInt>(kDictionary.size())) == Z_OK;
  }
  ~Inflation() { inflateEnd(&stream); }
  Inflation(const Inflation&) = delete;
  Inflation& operator=(const Inflation&) = delete;
};

/** Owns a deflate stream. */
struct Deflation {
  z_stream stream{};
  bool ready = false;

  explicit Deflation(CompressionEffort effort) {
    const int level =
        effort == CompressionEffort::kBest ? Z_BEST_COMPRESSION : Z_DEFAULT_COMPRESSION;
    ready = deflateInit2(&stream, level, Z_DEFLATED, kWindowBits, kMemoryLevel,
                         Z_DEFAULT_STRATEGY) == Z_OK &&
            deflateSetDictionary(&stream, bytesOf(kDictionary),
                                 static_cast<uInt>(kDictionary.size())) == Z_OK;
  }
  ~Deflation() { deflateEnd(&stream); }
  Deflation(const Deflation&) = delete;
  Deflation& operator=(const Deflation&) = delete;
};

}  // namespace

std::string compressPayload(std::string payload, CompressionEffort effort) {
  if (payload.size() < kMinCompressedBytes) {
    return payload;
  }
  Deflation deflation(effort);
  if (!deflation.ready) {
    return payload;
  }
  z_stream& stream = deflation.stream;
  std::string packed(deflateBound(&stream, static_cast<uLong>(payload.size())) + kHeaderBytes,
                     '\0');
  packed[0] = kCompressedMarker;
  packed[1] = kDictionaryNumber;
  setInput(stream, payload);
  stream.next_out = reinterpret_cast<Bytef*>(packed.data() + kHeaderBytes);
  stream.avail_out = static_cast<uInt>(packed.size() - kHeaderBytes);
  if (deflate(&stream, Z_FINISH) != Z_STREAM_END) {
    return payload;
  }
  packed.resize(kHeaderBytes + stream.total_out);
  packed.shrink_to_fit();
  return packed.size() < payload.size() ? packed : payload;
}

bool isCompressedPayload(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kCompressedMarker;
}

Result<std::string, DecodeError> decompressPayload(std::string_view bytes, size_t maxBytes) {
  if (!isCompressedPayload(bytes)) {
    return std::string(bytes);
  }
  if (bytes.size() < kHeaderBytes) {
    return DecodeError{DecodeErrorCode::kTruncated};
  }
  Inflation inflation;
  if (bytes[1] != kDictionaryNumber || !inflation.ready) {
    return DecodeError{DecodeErrorCode::kMalformed};
  }
  z_stream& stream = inflation.stream;
  setInput(stream, bytes.substr(kHeaderBytes));
  std::string payload;
  std::array<char, kChunkBytes> chunk{};
  int outcome = Z_OK;
  while (outcome == Z_OK) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    outcome = inflate(&stream, Z_NO_FLUSH);
    payload.append(chunk.data(), chunk.size() - stream.avail_out);
    if (payload.size() > maxBytes) {
      return DecodeError{DecodeErrorCode::kTooLong};
    }
  }
  if (outcome != Z_STREAM_END) {
    const bool isCut = outcome == Z_BUF_ERROR && stream.avail_in == 0;
    return DecodeError{isCut ? DecodeErrorCode::kTruncated : DecodeErrorCode::kMalformed};
  }
  if (stream.avail_in != 0) {
    return DecodeError{DecodeErrorCode::kTrailingBytes};
  }
  return payload;
}

}  // namespace umberhold
