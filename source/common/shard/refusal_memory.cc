#include "common/shard/refusal_memory.h"

namespace umberhold {

bool RefusalMemory::record(TimePoint now, FlowHash flow) {
  if (flows_.contains(flow)) {
    return true;
  }
  if (flows_.size() >= kCapacity) {
    return false;
  }
  flows_.insert(flow);
  order_.push_back(Entry{now, flow});
  return true;
}

void RefusalMemory::expire(TimePoint now) {
  while (!order_.empty() && now - order_.front().when >= kLifetime) {
    flows_.erase(order_.front().flow);
    order_.pop_front();
  }
}

std::vector<FlowHash> RefusalMemory::list() const {
  return {flows_.begin(), flows_.end()};
}

void RefusalMemory::clear() {
  order_.clear();
  flows_.clear();
}

}  // namespace umberhold
