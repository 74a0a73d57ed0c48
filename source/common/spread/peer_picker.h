/** @file Random peers out of a membership view, without a walk over the view each time. */
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

/** Caches the usable peers of one revision of the view. */
class PeerPicker {
 public:
  PeerPicker(const MembershipView& view, RandomSource& random) : view_(view), random_(random) {}

  /** @return a random member that is neither dead, suspect nor this node. */
  std::optional<Peer> pick();
  /** @return a random one of those that have caught up; of all where there is none. */
  std::optional<Peer> pickCaughtUp();
  /** @return a random one of those that start, if any does. */
  std::optional<Peer> pickStarting();
  /** @return up to `count` different ones. */
  std::vector<Peer> pick(size_t count);
  /** @return how many other members serve as a source: they have caught up once. */
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
