/**
 * @file What tells one life of a host from the next one under the same id.
 *
 * Flow tokens name a host by its id alone, so a host that starts again has the token of its last
 * life and holds none of that life's flows. What tells the two apart is the time of birth that the
 * host itself states.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/** One instant by the steady clock and by the wall clock. */
struct WallClock {
  TimePoint at{};
  /** 0: not known; births are no times then, they only tell lives apart. */
  uint64_t unixMilliseconds = 0;
};

/** Clocks of machines of one platform differ by less than this. Resets and what counts of the past
 * are on the safe side of it: the usual error of a time service is some milliseconds. */
constexpr Duration kMaxClockSkew = std::chrono::milliseconds(250);

/** Which of two lives under one id an entry tells of. */
enum class HostGeneration : uint8_t {
  /** The one that is known; also where one of the two does not tell its birth. */
  kSame,
  kNewer,
  kOlder,
};

inline HostGeneration compareGenerations(const HostSpec& known, const HostSpec& told) {
  if (known.bornMilliseconds == 0 || told.bornMilliseconds == 0 ||
      known.bornMilliseconds == told.bornMilliseconds) {
    return HostGeneration::kSame;
  }
  return told.bornMilliseconds > known.bornMilliseconds ? HostGeneration::kNewer : HostGeneration::kOlder;
}

/** @return when the host was born by the steady clock; nothing where it does not tell, the wall
 * clock is not known, or it would be in the future: then the two clocks can't be compared. */
inline std::optional<TimePoint> startTimeOf(const HostSpec& host, const WallClock& clock) {
  /** More than any clock since its boot; keeps the arithmetic in range. */
  constexpr uint64_t kLongestAge = 1000ULL * 60 * 60 * 24 * 365;
  const uint64_t born = host.bornMilliseconds;
  if (born == 0 || born > clock.unixMilliseconds) {
    return std::nullopt;
  }
  const uint64_t age = std::min(clock.unixMilliseconds - born, kLongestAge);
  return clock.at - std::chrono::milliseconds(static_cast<int64_t>(age));
}

}  // namespace umberhold
