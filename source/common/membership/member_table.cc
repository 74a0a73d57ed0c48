#include "common/membership/member_table.h"

#include <algorithm>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr int kRandomDraws = 8;

bool isLive(const Member& member) {
  return member.state != MemberState::kDead;
}

bool sameAddress(const Member& left, const Member& right) {
  return left.controlEndpoint() == right.controlEndpoint() && left.relayPort == right.relayPort &&
         left.zone == right.zone;
}

bool before(const MemberEntry& entry, NodeId id) {
  return entry.member.id < id;
}

}  // namespace

Member published(const Member& member) {
  Member sent = member;
  if (sent.state == MemberState::kSuspect) {
    sent.state = MemberState::kAlive;
  }
  return sent;
}

MemberUpdate updateOf(const Member& member) {
  const Member sent = published(member);
  return MemberUpdate{sent.id, sent.incarnation, sent.state};
}

bool overrides(uint64_t incarnation, MemberState state, const Member& known) {
  if (incarnation != known.incarnation) {
    return incarnation > known.incarnation;
  }
  return state > published(known).state;
}

MemberTable::MemberTable(Member self) : self_(self.id) {
  entries_.push_back(MemberEntry{self, TimePoint{}, false});
  toggleDigest(self);
  liveCount_ = isLive(self) ? 1 : 0;
}

const Member& MemberTable::self() const {
  return find(self_)->member;
}

const MemberEntry* MemberTable::find(NodeId id) const {
  const auto found = std::lower_bound(entries_.begin(), entries_.end(), id, before);
  return found != entries_.end() && found->member.id == id ? &*found : nullptr;
}

MemberEntry* MemberTable::findMutable(NodeId id) {
  return const_cast<MemberEntry*>(std::as_const(*this).find(id));
}

MergeOutcome MemberTable::merge(TimePoint now, const MemberUpdate& update) {
  MemberEntry* entry = findMutable(update.id);
  if (entry == nullptr) {
    return update.state == MemberState::kDead ? MergeOutcome::kStale : MergeOutcome::kUnknown;
  }
  if (!overrides(update.incarnation, update.state, entry->member)) {
    return MergeOutcome::kStale;
  }
  change(now, *entry, update.incarnation, update.state);
  return MergeOutcome::kChanged;
}

MergeOutcome MemberTable::merge(TimePoint now, const Member& received) {
  const Member member = published(received);
  if (member.region != self().region) {
    return MergeOutcome::kStale;
  }
  const auto place = std::lower_bound(entries_.begin(), entries_.end(), member.id, before);
  if (place == entries_.end() || place->member.id != member.id) {
    if (!isLive(member)) {
      return MergeOutcome::kStale;
    }
    entries_.insert(place, MemberEntry{member, now, false});
    toggleDigest(member);
    ++liveCount_;
    ++revision_;
    return MergeOutcome::kAdded;
  }
  const bool moved =
      member.incarnation >= place->member.incarnation && !sameAddress(member, place->member);
  if (moved) {
    const Member known = place->member;
    place->member = member;
    place->member.incarnation = known.incarnation;
    place->member.state = known.state;
    ++revision_;
  }
  const MergeOutcome outcome = merge(now, updateOf(member));
  return moved ? MergeOutcome::kAdded : outcome;
}

void MemberTable::setSelf(TimePoint now, uint64_t incarnation, MemberState state) {
  change(now, *findMutable(self_), incarnation, state);
}

bool MemberTable::setSuspect(TimePoint now, NodeId id, bool suspect) {
  MemberEntry* entry = findMutable(id);
  const MemberState from = suspect ? MemberState::kAlive : MemberState::kSuspect;
  if (entry == nullptr || entry->member.state != from) {
    return false;
  }
  entry->member.state = suspect ? MemberState::kSuspect : MemberState::kAlive;
  entry->changedAt = now;
  ++revision_;
  return true;
}

void MemberTable::change(TimePoint now, MemberEntry& entry, uint64_t incarnation,
                         MemberState state) {
  toggleDigest(entry.member);
  liveCount_ -= isLive(entry.member) ? 1 : 0;
  entry.left = state == MemberState::kDead && entry.member.state == MemberState::kLeaving;
  entry.member.incarnation = incarnation;
  entry.member.state = state;
  entry.changedAt = now;
  liveCount_ += isLive(entry.member) ? 1 : 0;
  toggleDigest(entry.member);
  ++revision_;
}

void MemberTable::purgeDead(TimePoint instant) {
  const size_t removed = std::erase_if(entries_, [&](const MemberEntry& entry) {
    return !isLive(entry.member) && entry.changedAt < instant && entry.member.id != self_;
  });
  revision_ += removed > 0 ? 1 : 0;
}

const Member* MemberTable::pick(RandomSource& random,
                                const std::function<bool(const MemberEntry&)>& matches) const {
  const auto satisfies = [&](const MemberEntry& entry) {
    return entry.member.id != self_ && matches(entry);
  };
  size_t index = 0;
  for (int draw = 0; draw < kRandomDraws; ++draw) {
    index = random.below(entries_.size());
    if (satisfies(entries_[index])) {
      return &entries_[index].member;
    }
  }
  for (size_t step = 0; step < entries_.size(); ++step) {
    const MemberEntry& entry = entries_[(index + step) % entries_.size()];
    if (satisfies(entry)) {
      return &entry.member;
    }
  }
  return nullptr;
}

size_t MemberTable::bucketOf(NodeId id) {
  return mixHash(id.value, 0) % kMemberBuckets;
}

void MemberTable::toggleDigest(const Member& member) {
  if (!isLive(member)) {
    return;
  }
  const MemberUpdate update = updateOf(member);
  const uint64_t hash =
      mixHash(mixHash(update.id.value, update.incarnation), static_cast<uint64_t>(update.state));
  buckets_[bucketOf(member.id)] ^= static_cast<uint32_t>(hash);
}

uint64_t MemberTable::digest() const {
  uint64_t total = 0;
  for (const uint32_t bucket : buckets_) {
    total = mixHash(total, bucket);
  }
  return total;
}

std::vector<uint32_t> MemberTable::bucketDigests() const {
  return {buckets_.begin(), buckets_.end()};
}

}  // namespace umberhold
