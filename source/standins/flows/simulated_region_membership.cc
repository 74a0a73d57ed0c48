/** @file Membership of a simulated region: join, leave, pause, failure and member updates. */
#include <utility>
#include <vector>

#include "standins/flows/simulated_region.h"
#include "standins/flows/simulated_region_node.h"

namespace umberhold {
namespace {

/** Retry interval of an unanswered request for the member list. */
constexpr Duration kJoinRetry = std::chrono::milliseconds(500);
/** Interval at which each node fetches the member list of a random other node. */
constexpr Duration kViewExchange = std::chrono::seconds(1);

}  // namespace

void SimulatedRegion::sendMemberUpdate(uint32_t id, const Member& member, Duration delay) {
  after(delay, [this, id, member] {
    const auto known = nodes_.find(id);
    if (known == nodes_.end()) {
      return;
    }
    const bool pausedNow = known->second->pausedUntil > now_;
    if (pausedNow) {
      sendMemberUpdate(id, member, known->second->pausedUntil - now_);
    } else {
      known->second->onMember(member);
    }
  });
}

void SimulatedRegion::announce(const Member& member, Duration shortest, Duration longest) {
  const uint32_t subject = member.id.value;
  // Applied to the node itself without delay, because any later update about it, including its
  // death, is derived from its own entry and must supersede this one.
  nodes_.at(subject)->onMember(member);
  for (const auto& [id, node] : nodes_) {
    if (id != subject && connected(id, subject)) {
      sendMemberUpdate(id, member, randomDuration(shortest, longest));
    }
  }
}

void SimulatedRegion::startNode(uint32_t id, uint32_t zone) {
  Member self;
  self.id = NodeId{id};
  self.incarnation = ++incarnation_;
  self.state = MemberState::kJoining;
  self.zone = ZoneId{zone};
  self.address = id;
  self.controlPort = kControlPort;
  nodes_[id] = std::make_unique<Node>(*this, self);
  traffic_.onStart(id);
  Node& node = *nodes_[id];
  if (!service_.name.empty()) {
    node.services.apply(configurationVersion_, serviceId(), service_);
  }
  node.start();
  if (!service_.name.empty() && node.shardDirector) {
    // Received before the node was ready, so the service is not new to it.
    node.shardDirector->onServiceChanged(now_, serviceId());
  }
  join(id, self.incarnation);
}

SimulatedRegion::Node* SimulatedRegion::joiningNode(uint32_t id, uint64_t startIncarnation) {
  const auto known = nodes_.find(id);
  const bool joins = known != nodes_.end() && known->second->startIncarnation == startIncarnation &&
                     !known->second->hasJoined();
  return joins ? known->second.get() : nullptr;
}

void SimulatedRegion::join(uint32_t id, uint64_t startIncarnation) {
  Node* newcomer = joiningNode(id, startIncarnation);
  if (newcomer == nullptr) {
    return;
  }
  if (runningNode(id) == nullptr || !fetchMemberList(*newcomer)) {
    after(kJoinRetry, [this, id, startIncarnation] { join(id, startIncarnation); });
    return;
  }
  after(randomDuration(Duration(0), options_.lags.catchUp),
        [this, id, startIncarnation] { markAlive(id, startIncarnation); });
}

bool SimulatedRegion::fetchMemberList(Node& newcomer) {
  std::vector<const Node*> joined;
  std::vector<const Node*> joining;
  for (const auto& [otherId, other] : nodes_) {
    const bool answers = otherId != newcomer.id() && connected(newcomer.id(), otherId) &&
                         runningNode(otherId) != nullptr;
    if (answers) {
      (other->hasJoined() ? joined : joining).push_back(other.get());
    }
  }
  if (!joined.empty()) {
    newcomer.applyMembersOf(*joined[random_.below(joined.size())]);
    return true;
  }
  for (const Node* other : joining) {
    newcomer.applyMembersOf(*other);
  }
  // A node that did not answer may have joined already; the caller then retries.
  return joining.size() + 1 == nodes_.size();
}

void SimulatedRegion::markAlive(uint32_t id, uint64_t startIncarnation) {
  Node* newcomer = joiningNode(id, startIncarnation);
  if (newcomer == nullptr) {
    return;
  }
  if (runningNode(id) == nullptr) {
    after(kJoinRetry, [this, id, startIncarnation] { markAlive(id, startIncarnation); });
    return;
  }
  if (newcomer->shardDirector) {
    newcomer->shardDirector->setCaughtUp();
  }
  Member self = newcomer->self();
  self.state = MemberState::kAlive;
  announce(self, Duration(0), options_.lags.membership);
}

void SimulatedRegion::scheduleViewExchange() {
  after(kViewExchange, [this] { exchangeViews(); });
}

void SimulatedRegion::exchangeViews() {
  for (const auto& [id, node] : nodes_) {
    const uint32_t other = randomNode();
    if (other == id || !connected(id, other) || runningNode(id) == nullptr ||
        runningNode(other) == nullptr) {
      continue;
    }
    std::vector<Member> members;
    nodes_.at(other)->view.forEach([&](const Member& member) { members.push_back(member); });
    for (const Member& member : members) {
      if (member.id.value != id) {
        node->onMember(member);
      }
    }
  }
  scheduleViewExchange();
}

void SimulatedRegion::killNode(uint32_t id) {
  Member member = nodes_.at(id)->self();
  endNode(id);
  for (const auto& [otherId, other] : nodes_) {
    const Duration detection =
        randomDuration(options_.lags.shortestDetection, options_.lags.longestDetection);
    member.state = MemberState::kSuspect;
    sendMemberUpdate(otherId, member, detection / 2);
    member.state = MemberState::kDead;
    sendMemberUpdate(otherId, member, detection);
  }
}

void SimulatedRegion::leaveNode(uint32_t id) {
  Node& node = *nodes_.at(id);
  Member member = node.self();
  member.state = MemberState::kLeaving;
  node.leaving = true;
  if (node.shardDirector) {
    node.shardDirector->leave(now_);
  }
  announce(member, Duration(0), options_.lags.membership);
}

void SimulatedRegion::pauseNode(uint32_t id, Duration pause) {
  Node& node = *nodes_.at(id);
  Member member = node.self();
  node.pausedUntil = now_ + pause;
  for (const auto& [otherId, other] : nodes_) {
    const Duration detection =
        randomDuration(options_.lags.shortestDetection, options_.lags.longestDetection);
    if (otherId != id && detection < pause) {
      member.state = MemberState::kDead;
      sendMemberUpdate(otherId, member, detection);
    }
  }
  // The resumed node refutes its death with a higher incarnation.
  after(pause + std::chrono::milliseconds(100), [this, id] {
    const auto known = nodes_.find(id);
    if (known != nodes_.end() && !known->second->leaving) {
      Member self = known->second->self();
      self.incarnation = ++incarnation_;
      announce(self, Duration(0), options_.lags.membership);
    }
  });
}

void SimulatedRegion::cutZone(uint32_t zone) {
  cutZones_.insert(zone);
  for (const auto& [id, node] : nodes_) {
    for (const auto& [otherId, other] : nodes_) {
      if (id != otherId && !connected(id, otherId)) {
        Member deadMember = other->self();
        deadMember.state = MemberState::kDead;
        const Duration detection =
            randomDuration(options_.lags.shortestDetection, options_.lags.longestDetection);
        after(detection, [this, observer = id, subject = otherId, deadMember] {
          if (nodes_.contains(observer) && nodes_.contains(subject) &&
              !connected(observer, subject)) {
            sendMemberUpdate(observer, deadMember, Duration(0));
          }
        });
      }
    }
  }
}

void SimulatedRegion::healZones() {
  cutZones_.clear();
  for (const auto& [id, node] : nodes_) {
    Member member = node->self();
    member.incarnation = ++incarnation_;
    announce(member, Duration(0), options_.lags.membership * 2);
  }
  // Delivers the configuration that nodes missed during the partition.
  if (!service_.name.empty()) {
    configure(service_);
  }
}

}  // namespace umberhold
