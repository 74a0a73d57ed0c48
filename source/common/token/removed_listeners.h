/**
 * @file Addresses of services that were removed, as opposed to services that are not known yet.
 *
 * A node may receive packets of a flow whose service was added a moment ago: another node with a
 * newer configuration opened the flow. Only a service that this node knew and removed is gone, and
 * only for flows that were open when this node's configuration was current: the service may have
 * been added again since.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace umberhold {

/** Bounded: the oldest address is forgotten first. Not thread safe. */
class RemovedListeners {
 public:
  /** @param listener address, port and protocol packed into one integer. */
  void add(uint64_t listener) {
    if (!listeners_.insert(listener).second) {
      return;
    }
    order_.push_back(listener);
    if (order_.size() > kCapacity) {
      listeners_.erase(order_.front());
      order_.pop_front();
    }
  }
  /** A service listens there again. */
  void erase(uint64_t listener) {
    if (listeners_.erase(listener) > 0) {
      std::erase(order_, listener);
    }
  }
  bool contains(uint64_t listener) const { return listeners_.contains(listener); }
  size_t size() const { return listeners_.size(); }

  /** About 64 bytes each. */
  static constexpr size_t kCapacity = 8192;

 private:
  std::unordered_set<uint64_t> listeners_;
  std::deque<uint64_t> order_;
};

}  // namespace umberhold
