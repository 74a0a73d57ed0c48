/** @file Bounded parsing of msgpack. */
#include "common/wire/field_reader.h"

#include <algorithm>

namespace umberhold::wire_internal {
namespace {

/** Maximum nesting of arrays; the deepest message has five levels. */
constexpr size_t kMaxDepth = 8;

bool referToInput(msgpack::type::object_type, size_t, void*) {
  return true;
}

msgpack::unpack_limit limitFor(size_t inputSize) {
  const size_t elements = std::min(kMaxElements, inputSize);
  return {elements, 0, inputSize, inputSize, 0, kMaxDepth};
}

}  // namespace

Result<msgpack::object, DecodeError> parse(std::string_view bytes, msgpack::zone& zone) {
  if (bytes.size() > kMaxEncodedBytes) {
    return DecodeError{DecodeErrorCode::kTooLong};
  }
  try {
    size_t offset = 0;
    bool referenced = false;
    const msgpack::object object =
        msgpack::unpack(zone, bytes.data(), bytes.size(), offset, referenced, referToInput, nullptr,
                        limitFor(bytes.size()));
    if (offset != bytes.size()) {
      return DecodeError{DecodeErrorCode::kTrailingBytes};
    }
    return object;
  } catch (const msgpack::insufficient_bytes&) {
    return DecodeError{DecodeErrorCode::kTruncated};
  } catch (const msgpack::array_size_overflow&) {
    return DecodeError{DecodeErrorCode::kTooManyElements};
  } catch (const msgpack::depth_size_overflow&) {
    return DecodeError{DecodeErrorCode::kTooDeep};
  } catch (const msgpack::str_size_overflow&) {
    return DecodeError{DecodeErrorCode::kTruncated};
  } catch (const msgpack::bin_size_overflow&) {
    return DecodeError{DecodeErrorCode::kTruncated};
  } catch (const msgpack::unpack_error&) {
    return DecodeError{DecodeErrorCode::kMalformed};
  }
}

}  // namespace umberhold::wire_internal
