#include "common/token/group_shares.h"

#include <algorithm>

namespace umberhold {

GroupShares::GroupShares(const std::vector<HostGroup>& groups, RandomSource& random) {
  uint64_t shares = 0;
  for (const HostGroup& group : groups) {
    shares += group.share;
  }
  for (const HostGroup& group : groups) {
    const double part =
        shares == 0 ? 0.0 : static_cast<double>(group.share) / static_cast<double>(shares);
    groups_.push_back({part, random.unit()});
    pools_.push_back(group.pool);
  }
}

const std::string* GroupShares::next() const {
  const std::string* pool = nullptr;
  double most = 0.0;
  for (size_t index = 0; index < groups_.size(); ++index) {
    const Group& group = groups_[index];
    if (group.part > 0.0 && (pool == nullptr || group.owed + group.part > most)) {
      pool = &pools_[index];
      most = group.owed + group.part;
    }
  }
  return pool;
}

std::optional<size_t> GroupShares::indexOf(const std::string& pool) const {
  for (size_t index = 0; index < pools_.size(); ++index) {
    if (pools_[index] == pool && groups_[index].part > 0.0) {
      return index;
    }
  }
  return std::nullopt;
}

std::vector<GroupShares::Turn> GroupShares::begin() {
  std::vector<Turn> turns;
  for (size_t index = 0; index < groups_.size(); ++index) {
    groups_[index].owed += groups_[index].part;
    if (groups_[index].part > 0.0) {
      turns.push_back({index, pools_[index]});
    }
  }
  std::stable_sort(turns.begin(), turns.end(), [this](const Turn& left, const Turn& right) {
    return groups_[left.index].owed > groups_[right.index].owed;
  });
  return turns;
}

}  // namespace umberhold
