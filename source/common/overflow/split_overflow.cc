#include "common/overflow/split_overflow.h"

#include <algorithm>

namespace umberhold {
namespace {

/** Flows overflow into the lower half of the openings that a pool may have under way, so that as
 * many callers of its own find a place at once. */
constexpr double kSpareOpenings = 0.5;
/**
 * Requests of this node under way, open flows' included, for each slot of its equal part of the
 * pool, beyond which the pool takes no flows of others. With 2 a request waits for one other, half
 * of what openings may bring. Not lower: nodes of a busy zone have more than their part under way
 * while the pool has room (0.8: 109 and 128 requests lost of 75,000 in two bursts at a part of a
 * split that had lost half of its hosts, 56 and 79 with 1.5).
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

double SplitOverflow::passingPart(double maxPart, double weight) {
  if (weight >= 1.0) {
    return 0.0;
  }
  // A part never gets more than its weight on top of it: a canary of 1% stays one.
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
  // Each part has its own: what openings earn towards a large part is not spent on a small one.
  credits_.resize(parts.size(), start_);
  double& credit = credits_[*chosen];
  credit += passingPart(options_.maxPart, parts[*chosen].weight);
  if (credit < 1.0) {
    return std::nullopt;
  }
  credit -= 1.0;
  return chosen;
}

}  // namespace umberhold
