/** @file The read side of membership, as ownership, hand-over and spread see it. */
#pragma once

#include <cstdint>
#include <functional>

#include "common/messages/member.h"

namespace umberhold {

/** The members of this node's own region, this node included. */
class MembershipView {
 public:
  virtual ~MembershipView() = default;

  /** @return this node's own identifier. */
  virtual NodeId self() const = 0;
  /** @return the member, or nullptr for one never heard of or long dead; valid until the next
   * change. */
  virtual const Member* find(NodeId id) const = 0;
  /** Calls the visitor for every known member, dead ones that are still remembered included. */
  virtual void forEach(const std::function<void(const Member&)>& visitor) const = 0;
  /** @return a number that grows with every change of a member's state or address. */
  virtual uint64_t revision() const = 0;
};

/** Is notified of every change of the view, after it took effect. */
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  /** @param member the member as it now is; compare its state with what was known before. */
  virtual void onMemberChanged(const Member& member) = 0;
};

}  // namespace umberhold
