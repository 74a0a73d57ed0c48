/** @file A copy of the membership for use outside the loop thread. */
#pragma once

#include <utility>
#include <vector>

#include "common/membership/membership_view.h"

namespace umberhold {

/** The members at one point in time. */
class MemberSnapshot : public MembershipView {
 public:
  MemberSnapshot(NodeId self, std::vector<Member> members)
      : self_(self), members_(std::move(members)) {}

  NodeId self() const override { return self_; }
  const Member* find(NodeId id) const override {
    for (const Member& member : members_) {
      if (member.id == id) {
        return &member;
      }
    }
    return nullptr;
  }
  void forEach(const std::function<void(const Member&)>& visitor) const override {
    for (const Member& member : members_) {
      visitor(member);
    }
  }
  /** A snapshot never changes. */
  uint64_t revision() const override { return 0; }

 private:
  NodeId self_;
  std::vector<Member> members_;
};

}  // namespace umberhold
