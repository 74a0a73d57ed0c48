/** @file The hosts that a shard's flow entries refer to by slot number. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/strong_id.h"

namespace umberhold {

/** A host as referenced by flow entries. */
struct HostSlot {
  HostId host;
  Endpoint endpoint;
  /**
   * Permanently cleared when the host is removed, passes its drain deadline, or moves to another
   * endpoint. A host that returns under the same name has none of its former flows and gets a new
   * slot.
   */
  bool usable = true;

  /**
   * @return whether the host's endpoint is known; it is unknown until its configuration arrives.
   */
  bool isResolved() const { return endpoint != Endpoint{}; }
};

/**
 * Assigns slot numbers to the hosts of one shard at one node; numbers are never reused. Not thread
 * safe.
 */
class HostSlots {
 public:
  /** @return the slot of the usable host, creating it if necessary. */
  uint16_t enter(HostId host, const Endpoint& endpoint) {
    if (const auto known = find(host)) {
      return *known;
    }
    slots_.push_back(HostSlot{host, endpoint, true});
    return static_cast<uint16_t>(slots_.size() - 1);
  }

  /** @return the slot of the usable host, or nothing. */
  std::optional<uint16_t> find(HostId host) const {
    for (size_t slot = slots_.size(); slot > 0; --slot) {
      if (slots_[slot - 1].host == host && slots_[slot - 1].usable) {
        return static_cast<uint16_t>(slot - 1);
      }
    }
    return std::nullopt;
  }

  HostSlot& at(uint16_t slot) { return slots_.at(slot); }
  const HostSlot& at(uint16_t slot) const { return slots_.at(slot); }
  std::vector<HostSlot>& all() { return slots_; }
  const std::vector<HostSlot>& all() const { return slots_; }
  void clear() { slots_.clear(); }

 private:
  std::vector<HostSlot> slots_;
};

}  // namespace umberhold
