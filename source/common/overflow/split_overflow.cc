#include "common/overflow/split_overflow.h"

#include <algorithm>

namespace umberhold {
namespace {

/** Flows overflow into the lower half of the openings that a pool may have under way, so that as
 * many callers of its own find a place at once. */
constexpr double kSpareOpenings = 0.5;
/** Hosts that are busy to more than this part with requests, those of open flows included, take no
 * flows of others: from here on waiting times grow fast (M/M/c). */
constexpr double kSpareSlots = 0.8;

double usedPart(const PoolUse& use) {
  return (use.openings + 1.0) / use.openingLimit;
}

}  // namespace

bool SplitOverflow::hasSpareRoom(const PoolUse& use) {
  return use.known && use.openingLimit > 0.0 && usedPart(use) <= kSpareOpenings &&
         use.requests <= kSpareSlots * use.slots;
}

double SplitOverflow::passingPart(double mostPart, double weight) {
  if (weight >= 1.0) {
    return 0.0;
  }
  // A part never gets more than its weight on top of it: a canary of 1% stays one.
  return std::min(1.0, std::min(mostPart, weight) / (1.0 - weight));
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
  credit_ += passingPart(options_.mostPart, parts[*chosen].weight);
  if (credit_ < 1.0) {
    return std::nullopt;
  }
  credit_ -= 1.0;
  return chosen;
}

}  // namespace umberhold
