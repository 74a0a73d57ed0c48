/** @file Simulates faulty system behaviour between the nodes and the other components. */
#include <algorithm>
#include "common/platform/steady_now.h"

#include "test/soak/world/soak_world.h"

namespace umberhold::soak {
namespace {

constexpr size_t kIncarnationBytes = 8;
constexpr unsigned kByteBits = 8;
constexpr double kFrequentShare = 0.3;
constexpr double kRareShare = 0.01;

std::string withIncarnation(std::string_view bytes, uint64_t incarnation) {
  std::string changed(bytes);
  for (size_t index = 0; index < kIncarnationBytes; ++index) {
    const auto shift = static_cast<unsigned>(kIncarnationBytes - 1 - index) * kByteBits;
    changed[index] = static_cast<char>((incarnation >> shift) & 0xFFU);
  }
  return changed;
}

}  // namespace

const CallerRoute& SoakWorld::starvedRoute() const {
  // Requests of routes that return are not judged.
  const std::vector<CallerRoute>& routes = routes_->routes();
  return *std::find_if(routes.rbegin(), routes.rend(),
                       [](const CallerRoute& route) { return !route.returns; });
}

bool SoakWorld::sabotageToHost(size_t slot, const Endpoint& from, std::string_view bytes) {
  const auto packet =
      bytes.size() < kIncarnationBytes ? std::nullopt : decode(bytes.substr(kIncarnationBytes));
  if (sabotage_ == Sabotage::kNone || !packet || !fleet_->slots()[slot].host) {
    return false;
  }
  const bool marker = RouteTracker::isMarker({packet->target, packet->targetPort});
  if (sabotage_ == Sabotage::kIgnoresRoom &&
      flowOfCaller(*packet).service == starvedRoute().listen) {
    return true;
  }
  if (sabotage_ == Sabotage::kOldConfiguration && marker && drawShare(kFrequentShare)) {
    sendSystemReset(*packet);
    return true;
  }
  if (sabotage_ == Sabotage::kResetsFlows && !packet->has(kSyn) && drawShare(kRareShare)) {
    sendSystemReset(*packet);
    return true;
  }
  if (sabotage_ == Sabotage::kChangesPackets && !packet->data.empty() && drawShare(kRareShare)) {
    std::string changed(bytes);
    changed.back() = static_cast<char>(changed.back() ^ 1);
    fleet_->slots()[slot].host->onDatagram(steadyNow(), from, changed);
    return true;
  }
  return !marker && redirect(slot, from, bytes, *packet);
}

bool SoakWorld::redirect(size_t slot, const Endpoint& from, std::string_view bytes,
                         const EchoPacket& packet) {
  const FlowName flow = flowOfCaller(packet);
  if (packet.has(kSyn) && !redirected_.contains(flow) && drawShare(kFrequentShare)) {
    const std::vector<size_t> targets = redirectionTargets(slot);
    if (!targets.empty()) {
      redirected_[flow] = targets[random_.below(targets.size())];
    }
  }
  const auto found = redirected_.find(flow);
  if (found == redirected_.end() || !fleet_->slots()[found->second].host) {
    return false;
  }
  SoakHost& host = *fleet_->slots()[found->second].host;
  host.onDatagram(steadyNow(), from, withIncarnation(bytes, host.plan().incarnation));
  return true;
}

std::vector<size_t> SoakWorld::redirectionTargets(size_t slot) const {
  std::vector<size_t> targets;
  const std::string& service = fleet_->slots()[slot].host->plan().service;
  for (size_t index = 0; index < fleet_->slots().size(); ++index) {
    const HostSlot& candidate = fleet_->slots()[index];
    if (!candidate.host) {
      continue;
    }
    const bool same = candidate.host->plan().service == service;
    const bool wrong = sabotage_ == Sabotage::kWrongService && !same;
    const bool leaving =
        sabotage_ == Sabotage::kFillsLeavingHosts && same && candidate.leavingSince;
    if (wrong || leaving) {
      targets.push_back(index);
    }
  }
  return targets;
}

std::string SoakWorld::sabotageToCaller(const std::string& bytes) {
  auto packet = decode(bytes);
  if (sabotage_ != Sabotage::kChangesAnswers || !packet || packet->data.empty() ||
      !drawShare(kRareShare)) {
    return bytes;
  }
  packet->data.back() = packet->data.back() == 'a' ? 'b' : 'a';
  return encodeSealed(*packet);
}

void SoakWorld::sendSystemReset(const EchoPacket& packet) {
  EchoPacket reset;
  reset.flags = kRst;
  reset.sequence = packet.acknowledged;
  reset.source = packet.target;
  reset.sourcePort = packet.targetPort;
  reset.target = packet.source;
  reset.targetPort = packet.sourcePort;
  loop_.send(probeSocket_, {packet.source, DeploymentPlan::kDataPort}, encode(reset));
}

}  // namespace umberhold::soak
