/** @file The stand-in's list of machines; changes become visible to readers after a lag. */
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "common/platform/platform_store.h"

namespace umberhold::standins {

/** Registered machines and the delayed list for readers. Thread safe. */
class MachineList {
 public:
  explicit MachineList(Duration lag) : lag_(lag) {}

  void setLag(Duration lag);
  /** Adds or replaces a machine. */
  void put(const Machine& machine);
  void remove(uint32_t nodeId);
  /** @return the list that is currently visible to readers. */
  std::vector<Machine> visible();

 private:
  struct Change {
    /** When the change was made; it becomes visible after the lag. */
    std::chrono::steady_clock::time_point at;
    uint32_t nodeId = 0;
    /** Empty for a removal. */
    std::optional<Machine> machine;
  };

  std::mutex mutex_;
  Duration lag_;
  /** Changes that are not applied to visible_ yet, oldest first. */
  std::deque<Change> pending_;
  std::map<uint32_t, Machine> visible_;
};

}  // namespace umberhold::standins
