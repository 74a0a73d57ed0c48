/** @file One simulated process of a SimulatedRegion; only the region's own files include this. */
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "common/base/hash.h"
#include "standins/flows/simulated_node.h"
#include "standins/flows/simulated_region.h"

namespace umberhold {

/** One simulated process. */
class SimulatedRegion::Node {
 public:
  Node(SimulatedRegion& owner, const Member& self)
      : region(owner),
        startIncarnation(self.incarnation),
        view(self),
        flows(tableOptions(owner)),
        messages([this](const Endpoint& to, Message message) {
          this->region.sendMessage(id(), to, std::move(message));
        }),
        held([this](TimePoint now, const std::string& bytes, PacketSource source) {
          onPacket(now, bytes, source);
        }) {}

  static FlowTableOptions tableOptions(SimulatedRegion& owner) {
    FlowTableOptions options;
    options.seed = owner.random_.engine()();
    return options;
  }

  uint32_t id() const { return view.self().value; }
  /** @return the member entry that this node announces of itself. */
  const Member& self() const { return *view.find(view.self()); }
  uint32_t zone() const { return self().zone.value; }
  bool hasJoined() const { return self().state != MemberState::kJoining; }

  void start() {
    const FlowStrategy strategy = region.options_.strategy;
    if (strategy == FlowStrategy::kPlainHash) {
      baseline = std::make_unique<PlainHashDirector>(services);
    } else if (strategy == FlowStrategy::kLocalTable) {
      auto table = std::make_unique<LocalTableDirector>(services, flows);
      localTable = table.get();
      baseline = std::move(table);
    } else {
      shardDirector = std::make_unique<ShardDirector>(
          region.options_.director, ShardDirectorParts{view, services, flows, messages, held},
          region.random_.engine()());
    }
  }

  FlowDirector& director() {
    return shardDirector ? static_cast<FlowDirector&>(*shardDirector) : *baseline;
  }

  void onMember(const Member& member) {
    if (view.apply(member) && shardDirector) {
      shardDirector->onMemberChanged(member);
    }
  }

  /** Applies the live members of another node's view. */
  void applyMembersOf(const Node& other) {
    other.view.forEach([this](const Member& member) {
      if (member.id != view.self() && member.state != MemberState::kDead) {
        onMember(member);
      }
    });
  }

  void onService(uint64_t version, ServiceId service, const Service& value) {
    if (!services.apply(version, service, value)) {
      return;
    }
    if (shardDirector) {
      shardDirector->onServiceChanged(region.now_, service);
    } else if (localTable != nullptr) {
      localTable->onServiceChanged(service);
    }
  }

  void tick() {
    if (shardDirector) {
      shardDirector->tick(region.now_, region.unixNow());
    } else {
      flows.tick(region.now_);
    }
  }

  void onPacket(TimePoint now, const std::string& bytes, PacketSource source) {
    if (!hasJoined()) {
      return;
    }
    const SimulatedPacket packet = SimulatedPacket::decode(bytes);
    FlowPacket parsed;
    parsed.key = region.oracle_.flow(packet.flow).key;
    parsed.hash = hashOf(parsed.key);
    parsed.service = region.serviceId();
    parsed.phase = packet.phase;
    parsed.source = source;
    parsed.timeToLive = packet.timeToLive;
    act(now, packet, director().decide(now, parsed, bytes));
  }

  void act(TimePoint now, SimulatedPacket packet, const FlowDecision& decision) {
    if (const auto* forward = std::get_if<ForwardToHost>(&decision)) {
      region.oracle_.onHost(now, packet.flow, forward->endpoint, packet.phase);
    } else if (std::holds_alternative<RefuseFlow>(decision)) {
      region.oracle_.onRefused(now, packet.flow, packet.phase);
    } else if (const auto* relay = std::get_if<RelayToNode>(&decision)) {
      if (--packet.timeToLive > 0) {
        region.sendRelay(id(), relay->node, packet.encode(), packet.timeToLive);
      }
    }
  }

  SimulatedRegion& region;
  /** Incarnation at process start; distinguishes processes with the same identifier. */
  const uint64_t startIncarnation;
  SimulatedView view;
  SimulatedServices services;
  FlowTable flows;
  SimulatedSink messages;
  SimulatedHeldSink held;
  std::unique_ptr<FlowDirector> baseline;
  LocalTableDirector* localTable = nullptr;
  std::unique_ptr<ShardDirector> shardDirector;
  TimePoint pausedUntil{};
  bool leaving = false;
  TimePoint handedOverSince{};
};

}  // namespace umberhold
