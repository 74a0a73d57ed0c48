/**
 * @file How many lines of each kind a process may log, so that a flood can neither fill the disks
 * of those who collect them nor crowd out the lines that explain failures.
 *
 * Each kind has a token bucket of its own. Lines beyond it are counted, and the count is handed out
 * with the next line of the kind that is let through. Decision logic without I/O.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/base/time.h"

namespace umberhold {

/** What a line tells of; each kind has a budget of its own. */
enum class LineKind : uint8_t {
  /** A new flow got a host. */
  kPlacement,
  /** A request went by on a flow. */
  kRequest,
  /** A reset, a drop, or a repeated opening. */
  kFailure,
  /** What the process believes changed: configuration, hosts, the store. */
  kStateChange,
  kCount,
};

/** @return the kind's name in lines and metrics, such as "placement". */
std::string_view toString(LineKind kind);

constexpr size_t kLineKinds = static_cast<size_t>(LineKind::kCount);

/** Budget of one kind. */
struct LineRate {
  double perSecond = 0.0;
  /** Lines that may come at once after a quiet time. */
  double burst = 0.0;
};

/** Budgets of all kinds, by LineKind. */
using LineRates = std::array<LineRate, kLineKinds>;

/** About four times what a node sees on a busy day. */
constexpr LineRates kDefaultLineRates = {LineRate{100, 200}, LineRate{200, 400}, LineRate{100, 400},
                                       LineRate{50, 600}};

/** Not thread safe. */
class LineBudget {
 public:
  explicit LineBudget(const LineRates& rates = kDefaultLineRates);

  /** @return whether a line of the kind may be written now; a line that may not is counted. */
  bool admit(TimePoint now, LineKind kind);
  /** @return lines of the kind that were suppressed since the last call, and forgets them. */
  uint64_t takeSuppressed(LineKind kind);
  /** @return lines of the kind that were suppressed since the start. */
  uint64_t suppressed(LineKind kind) const;

 private:
  struct Bucket {
    LineRate rate;
    double tokens = 0.0;
    TimePoint filledAt{};
    uint64_t suppressed = 0;
    uint64_t reported = 0;
  };

  Bucket& bucketOf(LineKind kind) { return buckets_[static_cast<size_t>(kind)]; }

  std::array<Bucket, kLineKinds> buckets_;
};

}  // namespace umberhold
