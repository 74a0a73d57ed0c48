/** @file Decoding of structs with visitFields from msgpack. This header is slow to compile: include
 * it only in .cc files of wire/. */
#pragma once

#include <concepts>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "common/base/result.h"
#include "common/wire/codec_error.h"
#include "common/wire/enum_range.h"
#include "common/wire/field_writer.h"

namespace umberhold::wire_internal {

/**
 * Parses the bytes into objects allocated in the zone; strings point into the bytes.
 * A list may not declare more elements than there are bytes, so memory use is proportional to the
 * input's size.
 */
Result<msgpack::object, DecodeError> parse(std::string_view bytes, msgpack::zone& zone);

/** Fills structs from parsed objects; keeps the first error. */
class FieldReader {
 public:
  /** Called by visitFields: reads one struct from the current array. */
  template <class... Fields>
  void operator()(Fields&... fields) {
    const msgpack::object_array array = current_;
    const uint32_t optional = std::exchange(optional_, 0);
    if (array.size + optional < sizeof...(Fields) + skip_) {
      fail(DecodeErrorCode::kMissingField, array.size);
      return;
    }
    uint32_t index = std::exchange(skip_, 0);
    ((index >= array.size || readAt(array, index++, fields)) && ...);
  }

  /**
   * Reads a struct from an array object.
   * @param skip number of leading elements that are not fields.
   */
  template <class Struct>
  bool readStruct(const msgpack::object& object, Struct& output, uint32_t skip = 0) {
    if (object.type != msgpack::type::ARRAY) {
      return fail(DecodeErrorCode::kWrongType);
    }
    current_ = object.via.array;
    skip_ = skip;
    if constexpr (requires { Struct::kOptionalFields; }) {
      optional_ = Struct::kOptionalFields;
    }
    output.visitFields(*this);
    return !error_;
  }

  const std::optional<DecodeError>& error() const { return error_; }

 private:
  template <class Type>
  bool readAt(const msgpack::object_array& array, uint32_t index, Type& output) {
    if (read(array.ptr[index], output)) {
      return true;
    }
    if (!located_) {
      located_ = true;
      error_->field = index;
    }
    return false;
  }

  template <class Type>
  bool read(const msgpack::object& object, Type& output) {
    if constexpr (std::same_as<Type, bool>) {
      return readBool(object, output);
    } else if constexpr (std::floating_point<Type>) {
      return readFloat(object, output);
    } else if constexpr (std::is_enum_v<Type>) {
      return readEnum(object, output);
    } else if constexpr (std::integral<Type>) {
      return readInteger(object, output);
    } else if constexpr (Identifier<Type>) {
      return read(object, output.value);
    } else {
      return readStruct(object, output);
    }
  }
  bool read(const msgpack::object& object, std::string& output) {
    if (object.type != msgpack::type::STR) {
      return fail(DecodeErrorCode::kWrongType);
    }
    output.assign(object.via.str.ptr, object.via.str.size);
    return true;
  }
  template <class Element>
  bool read(const msgpack::object& object, std::vector<Element>& output) {
    if (object.type != msgpack::type::ARRAY) {
      return fail(DecodeErrorCode::kWrongType);
    }
    const msgpack::object_array array = object.via.array;
    if (array.size > kMaxElements) {
      return fail(DecodeErrorCode::kTooManyElements);
    }
    output.clear();
    for (uint32_t index = 0; index < array.size; ++index) {
      if (!readAt(array, index, output.emplace_back())) {
        return false;
      }
    }
    return true;
  }
  bool readBool(const msgpack::object& object, bool& output) {
    if (object.type != msgpack::type::BOOLEAN) {
      return fail(DecodeErrorCode::kWrongType);
    }
    output = object.via.boolean;
    return true;
  }
  template <class Float>
  bool readFloat(const msgpack::object& object, Float& output) {
    if (object.type != msgpack::type::FLOAT32 && object.type != msgpack::type::FLOAT64) {
      return fail(DecodeErrorCode::kWrongType);
    }
    output = static_cast<Float>(object.via.f64);
    return true;
  }
  template <class Enum>
  bool readEnum(const msgpack::object& object, Enum& output) {
    std::underlying_type_t<Enum> number{};
    if (!readInteger(object, number)) {
      return false;
    }
    if (!isValid(static_cast<Enum>(number))) {
      return fail(DecodeErrorCode::kInvalidEnum);
    }
    output = static_cast<Enum>(number);
    return true;
  }
  template <class Integer>
  bool readInteger(const msgpack::object& object, Integer& output) {
    if (object.type == msgpack::type::POSITIVE_INTEGER) {
      return narrow(object.via.u64, output);
    }
    if (object.type == msgpack::type::NEGATIVE_INTEGER) {
      return narrow(object.via.i64, output);
    }
    return fail(DecodeErrorCode::kWrongType);
  }
  template <class Wide, class Integer>
  bool narrow(Wide number, Integer& output) {
    if (!std::in_range<Integer>(number)) {
      return fail(DecodeErrorCode::kOutOfRange);
    }
    output = static_cast<Integer>(number);
    return true;
  }
  bool fail(DecodeErrorCode code, uint32_t field = 0) {
    if (!error_) {
      error_ = DecodeError{code, field};
      located_ = field != 0;
    }
    return false;
  }

  msgpack::object_array current_{};
  uint32_t skip_ = 0;
  /** Number of trailing fields of the next struct that may be missing; they keep their defaults. */
  uint32_t optional_ = 0;
  std::optional<DecodeError> error_;
  /** Whether error_.field is already set to the innermost field. */
  bool located_ = false;
};

}  // namespace umberhold::wire_internal
