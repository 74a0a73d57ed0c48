/** @file Recently refused flows: repeated openings are refused again, never forwarded. */
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>
#include <vector>

#include "common/base/strong_id.h"
#include "common/base/time.h"

namespace umberhold {

/** A set of refused flows, bounded in time and size. Not thread safe. */
class RefusalMemory {
 public:
  /** Longer than a caller repeats its first packet (RFC 6298: 1, 2, 4, ... 64 s). */
  static constexpr Duration kLifetime = std::chrono::seconds(120);
  static constexpr size_t kCapacity = 65536;

  /** @return false if the set is full; then no refusal may be sent. */
  bool record(TimePoint now, FlowHash flow);
  bool contains(FlowHash flow) const { return flows_.contains(flow); }
  /** Removes flows that are older than kLifetime. */
  void expire(TimePoint now);
  std::vector<FlowHash> list() const;
  size_t size() const { return flows_.size(); }
  void clear();

 private:
  struct Entry {
    TimePoint when;
    FlowHash flow;
  };
  std::deque<Entry> order_;
  std::unordered_set<FlowHash> flows_;
};

}  // namespace umberhold
