#include "standins/platform/machine_list.h"

namespace umberhold::standins {

void MachineList::setLag(Duration lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

void MachineList::put(const Machine& machine) {
  const std::lock_guard lock(mutex_);
  pending_.push_back({std::chrono::steady_clock::now(), machine.nodeId, machine});
}

void MachineList::remove(uint32_t nodeId) {
  const std::lock_guard lock(mutex_);
  pending_.push_back({std::chrono::steady_clock::now(), nodeId, std::nullopt});
}

std::vector<Machine> MachineList::visible() {
  const std::lock_guard lock(mutex_);
  const auto visibleUntil = std::chrono::steady_clock::now() - lag_;
  while (!pending_.empty() && pending_.front().at <= visibleUntil) {
    const Change& change = pending_.front();
    if (change.machine) {
      visible_[change.nodeId] = *change.machine;
    } else {
      visible_.erase(change.nodeId);
    }
    pending_.pop_front();
  }
  std::vector<Machine> machines;
  machines.reserve(visible_.size());
  for (const auto& [nodeId, machine] : visible_) {
    machines.push_back(machine);
  }
  return machines;
}

}  // namespace umberhold::standins
