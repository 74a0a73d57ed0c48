/**
 * @file Distinguishes successive generations (process lifetimes) of a host under the same id.
 *
 * A flow token identifies a host only by its id, so a restarted host keeps its token but holds none
 * of the flows of its previous generation. The start time that the host itself reports
 * distinguishes the generations.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/** One instant on both the steady clock and the wall clock. */
struct WallClock {
  TimePoint at{};
  /** 0: unknown. Start times then only distinguish generations and are not used as times. */
  uint64_t unixMilliseconds = 0;
};

/**
 * Upper bound for the clock skew between machines of one platform. It is a safety margin for resets
 * and for evidence from the past; time synchronization is usually accurate to a few milliseconds.
 */
constexpr Duration kMaxClockSkew = std::chrono::milliseconds(250);

/** How the generation in an entry relates to the known generation of the host. */
enum class HostGeneration : uint8_t {
  /** The known generation; also if one of the two start times is unknown. */
  kSame,
  kNewer,
  kOlder,
};

inline HostGeneration compareGenerations(const HostSpec& known, const HostSpec& reported) {
  if (known.startedAtMilliseconds == 0 || reported.startedAtMilliseconds == 0 ||
      known.startedAtMilliseconds == reported.startedAtMilliseconds) {
    return HostGeneration::kSame;
  }
  return reported.startedAtMilliseconds > known.startedAtMilliseconds ? HostGeneration::kNewer
                                                                      : HostGeneration::kOlder;
}

/**
 * @return the start time of the host on the steady clock; nothing if the host does not report it,
 * the wall clock is unknown, or the start time lies in the future, in which case the clocks are not
 * comparable.
 */
inline std::optional<TimePoint> startTimeOf(const HostSpec& host, const WallClock& clock) {
  /** Exceeds the uptime of any machine; keeps the arithmetic in range. */
  constexpr uint64_t kMaxAge = 1000ULL * 60 * 60 * 24 * 365;
  const uint64_t born = host.startedAtMilliseconds;
  if (born == 0 || born > clock.unixMilliseconds) {
    return std::nullopt;
  }
  const uint64_t age = std::min(clock.unixMilliseconds - born, kMaxAge);
  return clock.at - std::chrono::milliseconds(static_cast<int64_t>(age));
}

}  // namespace umberhold
