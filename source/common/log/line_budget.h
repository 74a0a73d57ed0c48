/**
 * @file Rate limits for the lines of the log, by kind, so that a flood of one kind can neither fill
 * the disks of the log collectors nor displace the lines that explain failures.
 *
 * Each kind has its own token bucket. Suppressed lines are counted; the count is reported with the
 * next admitted line of the kind. Decision logic without I/O.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/base/time.h"

namespace umberhold {

/** Kind of a log line; each kind has its own budget. */
enum class LineKind : uint8_t {
  /** A new flow was assigned to a host. */
  kPlacement,
  /** A request was observed on a flow. */
  kRequest,
  /** A reset, a dropped packet, or a retransmitted SYN. */
  kFailure,
  /** The process's view of configuration, hosts or the store changed. */
  kStateChange,
  kCount,
};

/** @return the kind's name in lines and metrics, such as "placement". */
std::string_view toString(LineKind kind);

constexpr size_t kLineKinds = static_cast<size_t>(LineKind::kCount);

/** Budget of one kind. */
struct LineRate {
  double perSecond = 0.0;
  /** Capacity of the token bucket: lines that may be written at once. */
  double burst = 0.0;
};

/** Budgets of all kinds, by LineKind. */
using LineRates = std::array<LineRate, kLineKinds>;

/** Default rates: about four times what a node logs on a busy day. */
constexpr LineRates kDefaultLineRates = {LineRate{100, 200}, LineRate{200, 400}, LineRate{100, 400},
                                         LineRate{50, 600}};

/** Rate limiter for log lines. Not thread safe. */
class LineBudget {
 public:
  explicit LineBudget(const LineRates& rates = kDefaultLineRates);

  /** @return whether a line of the kind may be written now; otherwise it is counted as suppressed.
   */
  bool admit(TimePoint now, LineKind kind);
  /** @return the number of lines of the kind suppressed since the previous call. */
  uint64_t takeSuppressed(LineKind kind);
  /** @return the number of lines of the kind suppressed since the start. */
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
