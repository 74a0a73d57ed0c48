/** @file Read access to membership, for ownership, hand-over and configuration distribution. */
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
  /** @return the member, or nullptr if it is unknown or was removed after its death; valid until
   * the next change. */
  virtual const Member* find(NodeId id) const = 0;
  /** Calls the visitor for every member in the table, including dead ones. */
  virtual void forEach(const std::function<void(const Member&)>& visitor) const = 0;
  /** @return a number that increases with every change of a member's state or address. */
  virtual uint64_t revision() const = 0;
};

/** Notified of every change of the view, after it took effect. */
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  /** @param member the member after the change; its state may be unchanged. */
  virtual void onMemberChanged(const Member& member) = 0;
};

}  // namespace umberhold
