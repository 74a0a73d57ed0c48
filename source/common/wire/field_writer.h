/** @file Encoding of structs with visitFields as msgpack. This header is slow to compile: include
 * it only in .cc files of wire/. */
#pragma once

#include <concepts>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "common/wire/codec_error.h"
#include "common/wire/enum_range.h"

namespace umberhold::wire_internal {

/** A type that is encoded as a single integer instead of a struct. */
template <class Type>
concept Identifier = requires {
  typename Type::Representation;
};

/** Output stream of msgpack::packer that appends to a string. */
class StringStream {
 public:
  explicit StringStream(std::string& text) : text_(text) {}
  void write(const char* bytes, size_t size) { text_.append(bytes, size); }

 private:
  std::string& text_;
};

/** Visits fields and appends them to a string; keeps the first error. */
class FieldWriter {
 public:
  explicit FieldWriter(std::string& output) : stream_(output), packer_(stream_) {}

  /** Called by visitFields: writes one struct. */
  template <class... Fields>
  void operator()(const Fields&... fields) {
    packer_.pack_array(sizeof...(Fields) + prefixLength_);
    if (prefixLength_ == 1) {
      packer_.pack_uint32(prefix_);
      prefixLength_ = 0;
    }
    (write(fields), ...);
  }

  /** Prepends a number to the fields of the next struct. */
  void setPrefix(uint32_t prefix) {
    prefix_ = prefix;
    prefixLength_ = 1;
  }

  const std::optional<EncodeError>& error() const { return error_; }

  template <class Type>
  void write(const Type& value) {
    if constexpr (std::same_as<Type, bool> || std::floating_point<Type>) {
      packer_.pack(value);
    } else if constexpr (std::is_enum_v<Type>) {
      writeEnum(value);
    } else if constexpr (std::unsigned_integral<Type>) {
      packer_.pack_uint64(value);
    } else if constexpr (std::signed_integral<Type>) {
      packer_.pack_int64(value);
    } else if constexpr (Identifier<Type>) {
      write(value.value);
    } else {
      // visitFields is not const because the reader fills the fields; the writer only reads them.
      const_cast<Type&>(value).visitFields(*this);
    }
  }
  void write(const std::string& text) {
    checkLength(text.size(), kMaxEncodedBytes, EncodeErrorCode::kTooLong);
    packer_.pack_str(static_cast<uint32_t>(text.size()));
    packer_.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
  }
  template <class Element>
  void write(const std::vector<Element>& elements) {
    checkLength(elements.size(), kMaxElements, EncodeErrorCode::kTooManyElements);
    packer_.pack_array(static_cast<uint32_t>(elements.size()));
    for (const Element& element : elements) {
      write(element);
    }
  }

 private:
  template <class Enum>
  void writeEnum(Enum value) {
    if (!isValid(value)) {
      fail(EncodeErrorCode::kInvalidEnum);
    }
    write(static_cast<std::underlying_type_t<Enum>>(value));
  }
  void checkLength(size_t length, size_t limit, EncodeErrorCode code) {
    if (length > limit) {
      fail(code);
    }
  }
  void fail(EncodeErrorCode code) {
    if (!error_) {
      error_ = EncodeError{code};
    }
  }

  StringStream stream_;
  msgpack::packer<StringStream> packer_;
  std::optional<EncodeError> error_;
  uint32_t prefix_ = 0;
  uint32_t prefixLength_ = 0;
};

}  // namespace umberhold::wire_internal
