#include "common/membership/update_queue.h"

#include <algorithm>
#include <bit>

namespace umberhold {
namespace {

constexpr size_t kCapacity = 512;
/** Cost of a Member against the limit, in MemberUpdates. */
constexpr size_t kAddressCost = 2;

/** @return the number of transmissions of one change: logarithmic in the number of members, as
 * epidemic dissemination requires. */
uint16_t transmissionLimit(size_t members) {
  constexpr size_t kExtraTransmissions = 3;
  return static_cast<uint16_t>(std::bit_width(members) + kExtraTransmissions);
}

}  // namespace

void UpdateQueue::add(NodeId id, bool withAddress, bool urgent) {
  for (size_t index = 0; index < entries_.size(); ++index) {
    if (entries_[index].id == id) {
      withAddress = withAddress || entries_[index].withAddress;
      removeAt(index);
      break;
    }
  }
  if (entries_.size() == kCapacity) {
    const auto mostSent = std::max_element(
        entries_.begin(), entries_.end(),
        [](const Entry& left, const Entry& right) { return left.sent < right.sent; });
    removeAt(static_cast<size_t>(mostSent - entries_.begin()));
  }
  entries_.push_back(Entry{id, 0, withAddress, urgent});
  urgentCount_ += urgent ? 1 : 0;
}

MemberGossip UpdateQueue::take(const MemberTable& table, size_t limit, size_t copies) {
  MemberGossip gossip;
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const Entry& left, const Entry& right) { return left.sent < right.sent; });
  const uint16_t transmissions = transmissionLimit(table.liveCount());
  size_t cost = 0;
  for (Entry& entry : entries_) {
    if (cost >= limit) {
      break;
    }
    entry.sent = static_cast<uint16_t>(entry.sent + copies);
    urgentCount_ -= entry.urgent ? 1 : 0;
    entry.urgent = false;
    const MemberEntry* known = table.find(entry.id);
    if (known == nullptr) {
      entry.sent = transmissions;
    } else if (entry.withAddress && known->member.state != MemberState::kDead) {
      gossip.joined.push_back(published(known->member));
      cost += kAddressCost;
    } else {
      gossip.updates.push_back(updateOf(known->member));
      ++cost;
    }
  }
  std::erase_if(entries_, [&](const Entry& entry) { return entry.sent >= transmissions; });
  return gossip;
}

void UpdateQueue::clear() {
  entries_.clear();
  urgentCount_ = 0;
}

void UpdateQueue::removeAt(size_t index) {
  urgentCount_ -= entries_[index].urgent ? 1 : 0;
  entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index));
}

}  // namespace umberhold
