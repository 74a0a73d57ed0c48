/** @file Random selection of peers, without iterating over the membership view each time. */
#pragma once

#include <optional>
#include <vector>

#include "common/base/random.h"
#include "common/membership/membership_view.h"

namespace umberhold {

/** A node to exchange records with. */
struct Peer {
  NodeId id;
  Endpoint control;
};

/** Caches the usable peers of the current revision of the view. */
class PeerPicker {
 public:
  PeerPicker(const MembershipView& view, RandomSource& random) : view_(view), random_(random) {}

  /** @return a random member that is not dead, suspect or this node; std::nullopt if there is none.
   */
  std::optional<Peer> pick();
  /** @return a random peer that has caught up, or any peer if there is none. */
  std::optional<Peer> pickCaughtUp();
  /** @return a random peer that is starting, or std::nullopt if there is none. */
  std::optional<Peer> pickStarting();
  /** @return up to `count` distinct random peers. */
  std::vector<Peer> pick(size_t count);
  /** @return the number of other members that have caught up, suspect ones included. */
  size_t caughtUpPeerCount();

 private:
  void refresh();
  std::optional<Peer> pickOf(const std::vector<Peer>& peers);

  const MembershipView& view_;
  RandomSource& random_;
  std::optional<uint64_t> revision_;
  std::vector<Peer> peers_;
  std::vector<Peer> caughtUpPeers_;
  std::vector<Peer> startingPeers_;
  size_t caughtUpCount_ = 0;
};

}  // namespace umberhold
