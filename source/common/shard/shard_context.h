/** @file What the shards of one node share. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/base/byte_budget.h"
#include "common/base/random.h"
#include "common/base/time.h"
#include "common/flow/flow_director.h"
#include "common/flow/flow_table.h"
#include "common/membership/membership_view.h"
#include "common/placement/exception_budget.h"
#include "common/placement/service_placement.h"
#include "common/shard/host_directory.h"
#include "common/shard/shard_counters.h"
#include "common/shard/shard_map.h"
#include "common/wire/message.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Times and sizes of ownership. */
struct ShardDirectorOptions {
  /** Zone of this node, for policies. */
  std::string zoneName;
  /** Test switch: decide on whichever node a packet reaches, without relaying it to its owner. */
  bool ownerRelay = true;
  /** After a takeover from a dead node's replica, new flows follow the base table for this long. */
  Duration baseOnlyTime = std::chrono::seconds(3);
  /** A tick that comes later than this after the last one means that the process was paused. */
  Duration pauseThreshold = std::chrono::seconds(1);
  /** While a whole zone is silent, new flows follow the base table, for at most this long. */
  Duration zonePartitionTimeout = std::chrono::minutes(5);
  /**
   * After a death: a cut shows only as one death after the other. Longer than their spread (3 s).
   */
  Duration deathSettleTime = std::chrono::seconds(4);
  /** After a heal: views and owners of both sides have become one again. */
  Duration healSettleTime = std::chrono::seconds(10);
  /** How long a former owner keeps its state after it handed it over. */
  Duration releasedStateLifetime = std::chrono::seconds(60);
  /** Shortest time between two changes of a shard's base table. */
  Duration baseAdvanceInterval = std::chrono::seconds(10);
  /** Up to this many flows a hand-over carries every flow, so that the new owner knows them all. */
  uint32_t fullSnapshotFlows = 512;
  ByteBudgetOptions replication{600.0, 3000.0};
  ByteBudgetOptions snapshots{1000.0, 98304.0};
  /** The list of known flows of UDP services, beside the log. */
  ByteBudgetOptions knownFlows{700.0, 2800.0};
  /** The same list as a whole, for a new replica. */
  ByteBudgetOptions wholeLists{500.0, 16384.0};
  /** The same in hand-overs. What does not fit is not listed: no hand-over waits for it. */
  ByteBudgetOptions handOverLists{500.0, 65536.0};
  ExceptionBudgetOptions exceptions;
};

/** Borrowed parts and common state; outlives every LocalShard. */
struct ShardContext {
  ShardDirectorOptions options;
  const MembershipView& view;
  ShardMap& map;
  FlowTable& flows;
  MessageSink& sink;
  HeldPacketSink& held;
  ByteBudget replicationBudget;
  ByteBudget snapshotBudget;
  ByteBudget knownFlowBudget;
  ByteBudget wholeListBudget;
  ByteBudget handOverListBudget;
  ShardCounters counters;
  UnixSeconds unixNow = 0;
  /** Set after a pause of the process: another node may own what this one thinks it owns. */
  TimePoint baseOnlyUntil{};
  /** A whole zone is silent: its nodes may live on and decide without hearing this side. */
  bool zonePartitionSuspected = false;
  /** The view holds a member that is dead and was not seen leaving. */
  bool memberDied = false;
  /** When a member was last found dead that had not been leaving. */
  std::optional<TimePoint> lastDeath;
  /** When a zone that was silent was last heard again. */
  std::optional<TimePoint> lastHeal;
  bool leaving = false;
  /** Senders that this node's view does not hold (yet). */
  static constexpr size_t kMaximumUnknownSenders = 1024;
  std::unordered_map<NodeId, Endpoint> unknownSenders;

  NodeId self() const { return view.self(); }
  /**
   * @return whether nodes that this one takes for dead, or heard again only just now, may own what
   * this one owns or looks for.
   */
  bool mayHaveRivals(TimePoint now) const {
    const bool settling = lastDeath && now - *lastDeath < options.deathSettleTime;
    const bool healing = lastHeal && now - *lastHeal < options.healSettleTime;
    return zonePartitionSuspected || settling || healing;
  }
  /** @return whether messages and packets to the node make sense. */
  bool isReachable(NodeId node) const {
    const Member* member = view.find(node);
    return member != nullptr && member->state != MemberState::kDead &&
           member->state != MemberState::kJoining;
  }
  /** @return whether the view holds the node as dead; an unknown one may have joined just now. */
  bool isDead(NodeId node) const {
    const Member* member = view.find(node);
    return member != nullptr && member->state == MemberState::kDead;
  }
  void send(NodeId to, MessageBody body) {
    const Member* member = view.find(to);
    const auto stranger = unknownSenders.find(to);
    if (member != nullptr) {
      sink.send(member->controlEndpoint(), Message{std::move(body)});
    } else if (stranger != unknownSenders.end()) {
      sink.send(stranger->second, Message{std::move(body)});
    }
  }
  /** Remembers where a node that the view does not know yet wants its answers. */
  void recordSender(NodeId sender, const Endpoint& from) {
    if (view.find(sender) != nullptr) {
      unknownSenders.erase(sender);
    } else if (unknownSenders.size() < kMaximumUnknownSenders) {
      unknownSenders[sender] = from;
    }
  }
};

/** One service at a node that has to do with one of its shards. */
struct ServiceRuntime {
  ServiceId id;
  HostDirectory hosts;
  std::unique_ptr<ServicePlacement> placement;
  uint32_t idleTimeoutSeconds = 0;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** What the policy's admit() last said. */
  bool admitting = true;
  /** When the service was created, where this node was ready then: it had no flows before. */
  std::optional<TimePoint> createdAt;
};

}  // namespace umberhold
