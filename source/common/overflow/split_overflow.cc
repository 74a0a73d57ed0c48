#include "common/overflow/split_overflow.h"

#include <algorithm>

namespace umberhold {
namespace {

/** Maximum used fraction of a pool's openings at which flows may overflow into it; the rest is left
 * to the pool's own callers. */
constexpr double kSpareOpenings = 0.5;
/**
 * Maximum number of requests of this node under way, including those on open flows, per slot of its
 * equal share of the pool; above it, nothing overflows into the pool. With 2, a request waits for
 * one other, half of what openings may cause. Lower values lose requests, because nodes of a busy
 * zone have more than their share under way while the pool has room (with 0.8, 109 and 128 requests
 * of 75,000 were lost in two bursts at a part of a split that had lost half of its hosts; 56 and 79
 * with 1.5).
 */
constexpr double kSpareRequestsPerSlot = 2.0;

double usedPart(const PartUse& use) {
  return (use.openings + 1.0) / use.openingLimit;
}

}  // namespace

bool SplitOverflow::hasSpareRoom(const PartUse& use) {
  return use.known && use.openingLimit > 0.0 && usedPart(use) <= kSpareOpenings &&
         use.requests <= kSpareRequestsPerSlot * use.slots;
}

double SplitOverflow::acceptedPart(double maxPart, double weight) {
  if (weight >= 1.0) {
    return 0.0;
  }
  // Overflow at most doubles a part's weight, so that a canary of 1% stays small.
  return std::min(1.0, std::min(maxPart, weight) / (1.0 - weight));
}

std::optional<size_t> SplitOverflow::choose(const std::vector<SplitPart>& parts, size_t due) {
  std::optional<size_t> chosen;
  for (size_t index = 0; index < parts.size(); ++index) {
    const SplitPart& part = parts[index];
    if (index == due || part.weight <= 0.0 || !hasSpareRoom(part.use)) {
      continue;
    }
    if (!chosen || usedPart(part.use) < usedPart(parts[*chosen].use)) {
      chosen = index;
    }
  }
  if (!chosen) {
    return std::nullopt;
  }
  // Each part has its own credit, so that credit for a large part is not spent on a small one.
  credits_.resize(parts.size(), initialCredit_);
  double& credit = credits_[*chosen];
  credit += acceptedPart(options_.maxPart, parts[*chosen].weight);
  if (credit < 1.0) {
    return std::nullopt;
  }
  credit -= 1.0;
  return chosen;
}

}  // namespace umberhold
