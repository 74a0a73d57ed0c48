/** @file Errors of encoding and decoding. */
#pragma once

#include <cstdint>
#include <string_view>

namespace umberhold {

/** Reason of an encoding failure. */
enum class EncodeErrorCode : uint8_t {
  /** An enum field holds a value outside its range. */
  kInvalidEnum,
  /** A list is longer than kMaxElements. */
  kTooManyElements,
  /** The encoded form is longer than kMaxEncodedBytes. */
  kTooLong,
};

/** An encoding failure. */
struct EncodeError {
  EncodeErrorCode code = EncodeErrorCode::kTooLong;
  bool operator==(const EncodeError&) const = default;
};

/** Reason of a decoding failure. */
enum class DecodeErrorCode : uint8_t {
  /** The input ends within a value. */
  kTruncated,
  /** The input is not valid msgpack, or contains types that messages never use (maps, extensions).
   */
  kMalformed,
  /** A field does not have the type that the message defines. */
  kWrongType,
  /** An integer does not fit into its field. */
  kOutOfRange,
  /** The value is not defined for the enum. */
  kInvalidEnum,
  /** A struct ends before its last field. */
  kMissingField,
  /** A list declares more elements than allowed or than the input can contain. */
  kTooManyElements,
  /** The nesting is deeper than that of any message. */
  kTooDeep,
  /** The message is followed by further bytes. */
  kTrailingBytes,
  /** The message number is unknown. */
  kUnknownMessage,
  /** The input is longer than kMaxEncodedBytes. */
  kTooLong,
  kCount,
};

/** A decoding failure. */
struct DecodeError {
  DecodeErrorCode code = DecodeErrorCode::kMalformed;
  /** Index of the invalid field in its struct, or of the element in its list; 0 if there is none.
   */
  uint32_t field = 0;
  bool operator==(const DecodeError&) const = default;
};

/** Maximum size of an encoded message or object, bytes. */
constexpr size_t kMaxEncodedBytes = 1U << 20U;
/** Maximum length of a list in a message or object. */
constexpr size_t kMaxElements = 1U << 16U;

/** @return the snake_case label of a code. */
std::string_view toString(EncodeErrorCode code);
std::string_view toString(DecodeErrorCode code);

}  // namespace umberhold
