#include "common/spread/peer_picker.h"

#include <algorithm>
#include <utility>

namespace umberhold {

void PeerPicker::refresh() {
  if (revision_ == view_.revision()) {
    return;
  }
  revision_ = view_.revision();
  peers_.clear();
  caughtUpPeers_.clear();
  startingPeers_.clear();
  caughtUpCount_ = 0;
  view_.forEach([this](const Member& member) {
    if (member.id == view_.self() || member.state == MemberState::kDead) {
      return;
    }
    caughtUpCount_ += member.state == MemberState::kJoining ? 0 : 1;
    if (member.state != MemberState::kSuspect) {
      const Peer peer{member.id, member.controlEndpoint()};
      peers_.push_back(peer);
      (member.state == MemberState::kJoining ? startingPeers_ : caughtUpPeers_).push_back(peer);
    }
  });
}

std::optional<Peer> PeerPicker::pick() {
  refresh();
  return pickOf(peers_);
}

std::optional<Peer> PeerPicker::pickCaughtUp() {
  refresh();
  return pickOf(caughtUpPeers_.empty() ? peers_ : caughtUpPeers_);
}

std::optional<Peer> PeerPicker::pickStarting() {
  refresh();
  return pickOf(startingPeers_);
}

std::optional<Peer> PeerPicker::pickOf(const std::vector<Peer>& peers) {
  if (peers.empty()) {
    return std::nullopt;
  }
  return peers[random_.below(peers.size())];
}

std::vector<Peer> PeerPicker::pick(size_t count) {
  refresh();
  const size_t wanted = std::min(count, peers_.size());
  // A partial Fisher-Yates shuffle.
  for (size_t place = 0; place < wanted; ++place) {
    std::swap(peers_[place], peers_[place + random_.below(peers_.size() - place)]);
  }
  return {peers_.begin(), peers_.begin() + static_cast<std::ptrdiff_t>(wanted)};
}

size_t PeerPicker::caughtUpPeerCount() {
  refresh();
  return caughtUpCount_;
}

}  // namespace umberhold
