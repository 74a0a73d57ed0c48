#include "common/token/group_shares.h"

#include <algorithm>

namespace umberhold {

GroupShares::GroupShares(const std::vector<HostGroup>& groups, RandomSource& random) {
  uint64_t shares = 0;
  for (const HostGroup& group : groups) {
    shares += group.share;
  }
  for (const HostGroup& group : groups) {
    const double fraction =
        shares == 0 ? 0.0 : static_cast<double>(group.share) / static_cast<double>(shares);
    groups_.push_back({fraction, random.unit()});
    pools_.push_back(group.pool);
  }
}

const std::string* GroupShares::next() const {
  const std::string* pool = nullptr;
  double highestCredit = 0.0;
  for (size_t index = 0; index < groups_.size(); ++index) {
    const Group& group = groups_[index];
    if (group.fraction > 0.0 &&
        (pool == nullptr || group.credit + group.fraction > highestCredit)) {
      pool = &pools_[index];
      highestCredit = group.credit + group.fraction;
    }
  }
  return pool;
}

std::optional<size_t> GroupShares::indexOf(const std::string& pool) const {
  for (size_t index = 0; index < pools_.size(); ++index) {
    if (pools_[index] == pool && groups_[index].fraction > 0.0) {
      return index;
    }
  }
  return std::nullopt;
}

std::vector<GroupShares::Turn> GroupShares::begin() {
  std::vector<Turn> turns;
  for (size_t index = 0; index < groups_.size(); ++index) {
    groups_[index].credit += groups_[index].fraction;
    if (groups_[index].fraction > 0.0) {
      turns.push_back({index, pools_[index]});
    }
  }
  std::stable_sort(turns.begin(), turns.end(), [this](const Turn& left, const Turn& right) {
    return groups_[left.index].credit > groups_[right.index].credit;
  });
  return turns;
}

}  // namespace umberhold
