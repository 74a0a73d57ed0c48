/** @file State and options shared by the shards of one node. */
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

/** Timeouts and limits of shard ownership. */
struct ShardDirectorOptions {
  /** Zone of this node, for policies. */
  std::string zoneName;
  /** Test switch: decide on the node that receives a packet, without relaying it to the owner. */
  bool ownerRelay = true;
  /** How long new flows follow the base table after a takeover from a dead node's replica. */
  Duration baseOnlyTime = std::chrono::seconds(3);
  /** A longer interval between two ticks means that the process was paused. */
  Duration pauseThreshold = std::chrono::seconds(1);
  /** Maximum time for which new flows follow the base table because a whole zone is unreachable. */
  Duration zonePartitionTimeout = std::chrono::minutes(5);
  /**
   * How long after a death a partition is suspected, since one shows only as successive deaths.
   * Longer than the time over which they are detected (3 s).
   */
  Duration deathSettleTime = std::chrono::seconds(4);
  /** How long views and owners of both sides take to converge after a partition has healed. */
  Duration healSettleTime = std::chrono::seconds(10);
  /** How long a former owner keeps the state that it handed over. */
  Duration releasedStateLifetime = std::chrono::seconds(60);
  /** Minimum interval between two changes of a shard's base table. */
  Duration baseAdvanceInterval = std::chrono::seconds(10);
  /**
   * Up to this many flows a handover contains every flow, so that the new owner has a complete
   * list.
   */
  uint32_t fullSnapshotFlows = 512;
  ByteBudgetOptions replication{600.0, 3000.0};
  ByteBudgetOptions snapshots{1000.0, 98304.0};
  /** The list of known flows of UDP services, in addition to the log. */
  ByteBudgetOptions knownFlows{700.0, 2800.0};
  /** The complete list of known flows, for a new replica. */
  ByteBudgetOptions completeLists{500.0, 16384.0};
  /**
   * The list of known flows in handovers. Without budget it is omitted; no handover is delayed for
   * it.
   */
  ByteBudgetOptions handoverLists{500.0, 65536.0};
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
  ByteBudget completeListBudget;
  ByteBudget handoverListBudget;
  ShardCounters counters;
  UnixSeconds unixNow = 0;
  /**
   * New flows follow the base table until this time. Set after a pause of the process, since other
   * nodes may own this node's shards by now.
   */
  TimePoint baseOnlyUntil{};
  /** A whole zone is unreachable: its nodes may be alive and decide independently of this side. */
  bool zonePartitionSuspected = false;
  /** The view contains a dead member that was not observed leaving. */
  bool memberDied = false;
  /** When a member that was not leaving was last found dead. */
  std::optional<TimePoint> lastDeath;
  /** When an unreachable zone last became reachable again. */
  std::optional<TimePoint> lastHeal;
  bool leaving = false;
  /** Maximum number of recorded senders that this node's view does not contain (yet). */
  static constexpr size_t kMaxUnknownSenders = 1024;
  std::unordered_map<NodeId, Endpoint> unknownSenders;

  NodeId self() const { return view.self(); }
  /**
   * @return whether nodes that this node takes for dead, or that were reachable again only
   * recently, may own shards that this node owns or acquires.
   */
  bool mayHaveRivals(TimePoint now) const {
    const bool settling = lastDeath && now - *lastDeath < options.deathSettleTime;
    const bool healing = lastHeal && now - *lastHeal < options.healSettleTime;
    return zonePartitionSuspected || settling || healing;
  }
  /** @return whether messages and packets can be sent to the node. */
  bool isReachable(NodeId node) const {
    const Member* member = view.find(node);
    return member != nullptr && member->state != MemberState::kDead &&
           member->state != MemberState::kJoining;
  }
  /** @return whether the member is dead in the view; an unknown node may have joined recently. */
  bool isDead(NodeId node) const {
    const Member* member = view.find(node);
    return member != nullptr && member->state == MemberState::kDead;
  }
  void send(NodeId to, MessageBody body) {
    const Member* member = view.find(to);
    const auto unknownSender = unknownSenders.find(to);
    if (member != nullptr) {
      sink.send(member->controlEndpoint(), Message{std::move(body)});
    } else if (unknownSender != unknownSenders.end()) {
      sink.send(unknownSender->second, Message{std::move(body)});
    }
  }
  /** Records the reply endpoint of a node that the view does not contain yet. */
  void recordSender(NodeId sender, const Endpoint& from) {
    if (view.find(sender) != nullptr) {
      unknownSenders.erase(sender);
    } else if (unknownSenders.size() < kMaxUnknownSenders) {
      unknownSenders[sender] = from;
    }
  }
};

/** State of a service of which this node holds a shard. */
struct ServiceRuntime {
  ServiceId id;
  HostDirectory hosts;
  std::unique_ptr<ServicePlacement> placement;
  uint32_t idleTimeoutSeconds = 0;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** The latest result of the policy's admit(). */
  bool admitting = true;
  /**
   * When the service was created; set only if this node was ready at that time, so that the service
   * had no flows before.
   */
  std::optional<TimePoint> createdAt;
};

}  // namespace umberhold
