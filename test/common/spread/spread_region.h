/** @file Regions of control nodes on a simulated network. */
#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/base/hash.h"
#include "test/support/control_node.h"

namespace umberhold {

/** Nodes of one or two regions; the first node of each region is its seed. */
class SpreadRegion {
 public:
  static constexpr uint32_t kZones = 3;
  /** Lowest node id of the second region. */
  static constexpr uint32_t kOtherRegion = 1000;
  static constexpr Duration kTick = std::chrono::milliseconds(10);

  explicit SpreadRegion(uint64_t seed) : network(seed), random_(seed + 1) {}

  struct Node {
    Member self;
    std::unique_ptr<ControlNode> control;
    bool running = true;
    bool paused = false;
  };

  static Member memberOf(uint32_t id, uint64_t incarnation = 1) {
    Member member;
    member.id = NodeId{id};
    member.incarnation = incarnation;
    member.state = MemberState::kJoining;
    member.region = regionIdOf(regionName(id));
    member.zone = zoneIdOf(std::to_string(id % kZones));
    member.address = 0x7F000000U + id;
    member.controlPort = 4000;
    member.relayPort = 4001;
    return member;
  }
  static std::string regionName(uint32_t id) { return id < kOtherRegion ? "hobart" : "addis"; }
  static ContactCandidate candidate(uint32_t id) {
    return {regionName(id), {NodeId{id}, memberOf(id).controlEndpoint()}};
  }
  static ConfigRecord recordOf(const std::string& name, uint64_t version, size_t bytes = 500) {
    std::string payload = name + "@" + std::to_string(version);
    payload.resize(std::max(payload.size(), bytes), '.');
    return ConfigRecord{{ObjectKind::kService, name}, version, false, payload};
  }

  ControlNode& start(uint32_t id, uint64_t incarnation = 1) {
    Node& node = nodes[id];
    node.self = memberOf(id, incarnation);
    node.running = true;
    node.paused = false;
    MessageSink& sink = network.attach(
        node.self.id, node.self.controlEndpoint(),
        [&node](TimePoint now, const Endpoint& from, NodeId sender, const Message& message) {
          node.control->onMessage(now, from, sender, message);
        });
    node.control = std::make_unique<ControlNode>(node.self, random_.below(UINT64_MAX), sink);
    const uint32_t seed = id < kOtherRegion ? 1 : kOtherRegion;
    node.control->detector.start(network.now(), {memberOf(seed).controlEndpoint()});
    return *node.control;
  }
  /** Starts nodes 1 to count; node 1 has listed the store. */
  void startAll(uint32_t count) {
    for (uint32_t id = 1; id <= count; ++id) {
      start(id);
    }
    control(1).spread.setStoreListed();
    run(std::chrono::seconds(4));
  }
  ControlNode& control(uint32_t id) { return *nodes.at(id).control; }
  void publish(uint32_t reader, const ConfigRecord& record) {
    control(reader).spread.publish(network.now(), {record});
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
          node.control->tick(network.now());
        }
      }
    }
  }
  /** @return the number of running nodes that hold exactly the same records as the given one. */
  size_t countEqual(uint32_t id) const {
    const uint64_t total = nodes.at(id).control->store.total();
    size_t equal = 0;
    for (const auto& [other, node] : nodes) {
      equal += node.running && node.control->store.total() == total ? 1 : 0;
    }
    return equal;
  }

  MessageNetwork network;
  std::map<uint32_t, Node> nodes;

 private:
  RandomSource random_;
};

}  // namespace umberhold
