/**
 * @file Error handling without exceptions: a Result holds either a value or a typed error.
 *
 * Exceptions of libraries are caught where the library is called; every function of this project
 * that can fail returns a Result.
 */
#pragma once

#include <utility>
#include <variant>

namespace umberhold {

/** Success without a value. */
struct Ok {
  bool operator==(const Ok&) const = default;
};

/** Either a Value or an Error; the two types must differ. */
template <class Value, class Error>
using Result = std::variant<Value, Error>;

/** @return whether the result holds its value (the first alternative). */
template <class Value, class Error>
bool isOk(const Result<Value, Error>& result) {
  return result.index() == 0;
}

/** @return the value; the result must hold one. */
template <class Value, class Error>
Value& valueOf(Result<Value, Error>& result) {
  return std::get<0>(result);
}
template <class Value, class Error>
const Value& valueOf(const Result<Value, Error>& result) {
  return std::get<0>(result);
}
template <class Value, class Error>
Value&& valueOf(Result<Value, Error>&& result) {
  return std::get<0>(std::move(result));
}

/** @return the error; the result must hold one. */
template <class Value, class Error>
const Error& errorOf(const Result<Value, Error>& result) {
  return std::get<1>(result);
}

}  // namespace umberhold
