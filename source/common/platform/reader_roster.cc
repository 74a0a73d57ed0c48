#include "common/platform/reader_roster.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

/** Orders by capacity, highest first; the hash spreads nodes with adjacent names. */
bool ranksBefore(const RosterNode& left, const RosterNode& right) {
  if (left.capacity != right.capacity) {
    return left.capacity > right.capacity;
  }
  const uint64_t leftHash = hashBytes(left.name);
  const uint64_t rightHash = hashBytes(right.name);
  return leftHash != rightHash ? leftHash < rightHash : left.name < right.name;
}

}  // namespace

ReaderRoster::ReaderRoster(RosterNode self, RosterOptions options)
    : self_(std::move(self)), options_(options) {}

void ReaderRoster::setNodes(const std::vector<RosterNode>& nodes) {
  std::vector<RosterNode> ranked{self_};
  for (const RosterNode& node : nodes) {
    if (node.zone == self_.zone && node.name != self_.name) {
      ranked.push_back(node);
    }
  }
  candidates_.clear();
  higherRankedReaders_.clear();
  fallbackStep_ = 0;
  readsItself_ = ranked.size() < options_.minZoneNodes;
  if (readsItself_) {
    return;
  }
  std::sort(ranked.begin(), ranked.end(), ranksBefore);
  const auto self =
      static_cast<size_t>(std::find(ranked.begin(), ranked.end(), self_) - ranked.begin());
  const size_t readers = (ranked.size() + options_.nodesPerReader - 1) / options_.nodesPerReader;
  readsItself_ = self < readers;
  if (readsItself_) {
    higherRankedReaders_.assign(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(self));
    return;
  }
  fallbackStep_ = static_cast<uint32_t>(std::bit_width(self / readers)) - 1;
  const size_t first = hashBytes(self_.name) % readers;
  std::rotate(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(first),
              ranked.begin() + static_cast<std::ptrdiff_t>(readers));
  ranked.erase(ranked.begin() + static_cast<std::ptrdiff_t>(self));
  ranked.resize(std::min(ranked.size(), options_.maxCandidates));
  candidates_ = std::move(ranked);
}

}  // namespace umberhold
