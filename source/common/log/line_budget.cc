#include "common/log/line_budget.h"

#include <algorithm>

namespace umberhold {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

std::string_view toString(LineKind kind) {
  switch (kind) {
    case LineKind::kPlacement:
      return "placement";
    case LineKind::kRequest:
      return "request";
    case LineKind::kFailure:
      return "failure";
    case LineKind::kStateChange:
      return "belief";
    case LineKind::kCount:
      break;
  }
  return "unknown";
}

LineBudget::LineBudget(const LineRates& rates) {
  for (size_t kind = 0; kind < kLineKinds; ++kind) {
    buckets_[kind].rate = rates[kind];
    buckets_[kind].tokens = rates[kind].burst;
  }
}

bool LineBudget::admit(TimePoint now, LineKind kind) {
  Bucket& bucket = bucketOf(kind);
  const double elapsed = std::max(0.0, Seconds(now - bucket.filledAt).count());
  bucket.tokens = std::min(bucket.rate.burst, bucket.tokens + elapsed * bucket.rate.perSecond);
  bucket.filledAt = std::max(now, bucket.filledAt);
  if (bucket.tokens < 1.0) {
    ++bucket.suppressed;
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

uint64_t LineBudget::takeSuppressed(LineKind kind) {
  Bucket& bucket = bucketOf(kind);
  const uint64_t unreported = bucket.suppressed - bucket.reported;
  bucket.reported = bucket.suppressed;
  return unreported;
}

uint64_t LineBudget::suppressed(LineKind kind) const {
  return buckets_[static_cast<size_t>(kind)].suppressed;
}

}  // namespace umberhold
