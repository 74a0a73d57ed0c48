#include "common/platform/reader_candidacy.h"

#include <algorithm>
#include <set>
#include <vector>

#include "common/base/hash.h"

namespace umberhold {
namespace {

/** Seed that makes the ranking of readers independent of other uses of rendezvous hashing. */
constexpr uint64_t kReaderSeed = 0x7265616465727331ULL;

struct Candidate {
  uint64_t score = 0;
  NodeId id;
  ZoneId zone;
};

bool ranksBefore(const Candidate& left, const Candidate& right) {
  return left.score != right.score ? left.score > right.score : left.id < right.id;
}

std::vector<const Member*> eligibleMembers(const MembershipView& view) {
  std::vector<const Member*> running;
  std::vector<const Member*> joining;
  view.forEach([&](const Member& member) {
    if (member.state == MemberState::kAlive || member.state == MemberState::kSuspect) {
      running.push_back(&member);
    } else if (member.state == MemberState::kJoining) {
      joining.push_back(&member);
    }
  });
  return running.empty() ? joining : running;
}

/** Ranks the best member of each zone first, by score; then the other members. */
std::vector<Candidate> rankForSlot(const std::vector<const Member*>& members, uint8_t slot) {
  const uint64_t slotSeed = mixHash(kReaderSeed, slot);
  std::vector<Candidate> ranked;
  ranked.reserve(members.size());
  for (const Member* member : members) {
    ranked.push_back({mixHash(slotSeed, member->id.value), member->id, member->zone});
  }
  std::sort(ranked.begin(), ranked.end(), ranksBefore);
  std::set<ZoneId> zones;
  std::vector<Candidate> bestOfZones;
  std::vector<Candidate> others;
  for (const Candidate& candidate : ranked) {
    const bool isFirstOfZone = zones.insert(candidate.zone).second;
    (isFirstOfZone ? bestOfZones : others).push_back(candidate);
  }
  bestOfZones.insert(bestOfZones.end(), others.begin(), others.end());
  return bestOfZones;
}

}  // namespace

ReaderRanks readerRanks(const MembershipView& view) {
  const std::vector<const Member*> members = eligibleMembers(view);
  ReaderRanks ranks;
  for (uint8_t slot = 0; slot < kReaderSlots; ++slot) {
    const std::vector<Candidate> ranked = rankForSlot(members, slot);
    const size_t count = std::min<size_t>(ranked.size(), kCandidatesPerRegion);
    for (size_t rank = 0; rank < count; ++rank) {
      if (ranked[rank].id == view.self()) {
        ranks[slot] = static_cast<uint8_t>(rank);
      }
    }
  }
  return ranks;
}

}  // namespace umberhold
