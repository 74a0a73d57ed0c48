/** @file Labels of codec errors. */
#include "common/wire/codec_error.h"

namespace umberhold {

std::string_view toString(EncodeErrorCode code) {
  switch (code) {
    case EncodeErrorCode::kInvalidEnum:
      return "invalid_enum";
    case EncodeErrorCode::kTooManyElements:
      return "too_many_elements";
    case EncodeErrorCode::kTooLong:
      return "too_long";
  }
  return "unknown";
}

std::string_view toString(DecodeErrorCode code) {
  switch (code) {
    case DecodeErrorCode::kTruncated:
      return "truncated";
    case DecodeErrorCode::kMalformed:
      return "malformed";
    case DecodeErrorCode::kWrongType:
      return "wrong_type";
    case DecodeErrorCode::kOutOfRange:
      return "out_of_range";
    case DecodeErrorCode::kInvalidEnum:
      return "invalid_enum";
    case DecodeErrorCode::kMissingField:
      return "missing_field";
    case DecodeErrorCode::kTooManyElements:
      return "too_many_elements";
    case DecodeErrorCode::kTooDeep:
      return "too_deep";
    case DecodeErrorCode::kTrailingBytes:
      return "trailing_bytes";
    case DecodeErrorCode::kUnknownMessage:
      return "unknown_message";
    case DecodeErrorCode::kTooLong:
      return "too_long";
    case DecodeErrorCode::kCount:
      break;
  }
  return "unknown";
}

}  // namespace umberhold
