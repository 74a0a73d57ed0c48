/** @file A region of failure detectors on a simulated network. */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <variant>

#include "common/base/hash.h"
#include "common/membership/failure_detector.h"
#include "test/support/message_network.h"

namespace umberhold {

/** Whether Handler has a handle() overload for the message. */
template <class Handler, class Body>
concept Handles = requires(Handler& handler, const Body& body) {
  handler.handle(TimePoint{}, Endpoint{}, NodeId{}, body);
};

/** One region in simulated time; nodes are assigned to zones 0, 1 and 2 in turn. */
class Region {
 public:
  static constexpr uint32_t kZones = 3;
  static constexpr Duration kTick = std::chrono::milliseconds(50);

  explicit Region(uint64_t seed) : network(seed), random_(seed + 1) {}

  struct Node {
    Member self;
    std::unique_ptr<RandomSource> random;
    std::unique_ptr<FailureDetector> detector;
    bool running = true;
    bool paused = false;
  };

  static Member memberOf(uint32_t id, uint64_t incarnation) {
    Member member;
    member.id = NodeId{id};
    member.incarnation = incarnation;
    member.state = MemberState::kJoining;
    member.region = regionIdOf("hobart");
    member.zone = zoneIdOf(std::to_string(id % kZones));
    member.address = 0x7F000000U + id;
    member.controlPort = 4000;
    member.relayPort = 4001;
    return member;
  }

  /** Starts a process with that id; node 1 is the seed of all nodes. */
  FailureDetector& start(uint32_t id, uint64_t incarnation = 1) {
    Node& node = nodes[id];
    node.self = memberOf(id, incarnation);
    node.running = true;
    node.paused = false;
    node.random = std::make_unique<RandomSource>(random_.below(UINT64_MAX));
    const Endpoint endpoint = node.self.controlEndpoint();
    MessageSink& sink = network.attach(
        node.self.id, endpoint,
        [&node](TimePoint now, const Endpoint& from, NodeId sender, const Message& message) {
          std::visit(
              [&](const auto& body) {
                if constexpr (Handles<FailureDetector, std::decay_t<decltype(body)>>) {
                  node.detector->handle(now, from, sender, body);
                }
              },
              message.body);
        });
    node.detector =
        std::make_unique<FailureDetector>(MembershipOptions{}, node.self, *node.random, sink);
    node.detector->start(network.now(), {memberOf(1, 1).controlEndpoint()});
    return *node.detector;
  }
  /** Starts nodes 1 to count and runs until they are alive. */
  void startAll(uint32_t count) {
    for (uint32_t id = 1; id <= count; ++id) {
      start(id);
    }
    run(std::chrono::seconds(2));
    for (auto& [id, node] : nodes) {
      node.detector->announceReady(network.now());
    }
    run(std::chrono::seconds(5));
  }
  void crash(uint32_t id) {
    nodes.at(id).running = false;
    network.detach(nodes.at(id).self.controlEndpoint());
  }
  void pause(uint32_t id, bool paused) {
    nodes.at(id).paused = paused;
    network.setPaused(nodes.at(id).self.controlEndpoint(), paused);
  }
  void run(Duration span) {
    const TimePoint end = network.now() + span;
    while (network.now() < end) {
      network.advanceTo(network.now() + kTick);
      for (auto& [id, node] : nodes) {
        if (node.running && !node.paused) {
          node.detector->tick(network.now());
        }
      }
    }
  }
  /** @return the state of a member in the view of `viewer`; kDead also if it is unknown there. */
  MemberState stateIn(uint32_t viewer, uint32_t id) const {
    const Member* member = nodes.at(viewer).detector->find(NodeId{id});
    return member == nullptr ? MemberState::kDead : member->state;
  }
  /** @return whether the member has that state in the views of all running nodes. */
  bool allSee(uint32_t id, MemberState state) const {
    for (const auto& [viewer, node] : nodes) {
      if (node.running && stateIn(viewer, id) != state) {
        return false;
      }
    }
    return true;
  }
  /** @return whether in the views of all running nodes exactly the running nodes are alive. */
  bool viewsAreCorrect() const {
    for (const auto& [id, node] : nodes) {
      if (!allSee(id, node.running ? MemberState::kAlive : MemberState::kDead)) {
        return false;
      }
    }
    return true;
  }

  MessageNetwork network;
  std::map<uint32_t, Node> nodes;

 private:
  RandomSource random_;
};

}  // namespace umberhold
