/** @file Queue of membership updates to be disseminated. */
#pragma once

#include <cstdint>
#include <vector>

#include "common/membership/member_table.h"

namespace umberhold {

/**
 * Bounded dissemination queue: each change is sent a limited number of times, the least often sent
 * first (SWIM, section 4.1). Only ids are queued; the state that is sent is read from the table at
 * that time.
 */
class UpdateQueue {
 public:
  /** @param withAddress whether other nodes may lack the address of the member. */
  void add(NodeId id, bool withAddress, bool urgent);
  /** @return up to `limit` updates, counted as sent `copies` times. Entries that have been sent
   * often enough are removed from the queue. */
  MemberGossip take(const MemberTable& table, size_t limit, size_t copies = 1);
  /** @return whether an entry has not been sent since it was added as urgent. */
  bool hasUrgent() const { return urgentCount_ > 0; }
  void clear();
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    NodeId id;
    uint16_t sent = 0;
    bool withAddress = false;
    bool urgent = false;
  };

  void removeAt(size_t index);

  std::vector<Entry> entries_;
  size_t urgentCount_ = 0;
};

}  // namespace umberhold
