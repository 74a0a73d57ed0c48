/** @file Order of 32-bit sequence numbers that wrap around (RFC 1982). */
#pragma once

#include <cstdint>

namespace umberhold {

/** @return whether `left` comes after `right`, allowing for wraparound. */
inline bool isAfter(uint32_t left, uint32_t right) {
  return static_cast<int32_t>(left - right) > 0;
}

}  // namespace umberhold
