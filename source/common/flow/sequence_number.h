/** @file Order of 32-bit sequence numbers that wrap around (RFC 1982). */
#pragma once

#include <cstdint>

namespace umberhold {

/** @return whether a sequence number comes after another, which may have wrapped around. */
inline bool isAfter(uint32_t left, uint32_t right) {
  return static_cast<int32_t>(left - right) > 0;
}

}  // namespace umberhold
