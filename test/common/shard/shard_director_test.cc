/** @file Tests of a single ShardDirector. */
#include "common/shard/shard_director.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "standins/flows/simulated_node.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr NodeId kSelf{1};
constexpr NodeId kRequester{3};
constexpr NodeId kNewNode{9};
const ShardId kShard{ServiceId{7}, 0};

Endpoint endpointOf(NodeId node) {
  constexpr uint32_t kNetwork = 0x0A000000;
  return Endpoint{kNetwork + static_cast<uint32_t>(node.value), 7001};
}

/** A director whose view contains only its own node, and one service with one shard. */
struct SingleNode {
  SingleNode() {
    Service service;
    service.name = "one";
    service.shardCount = 1;
    services.apply(1, kShard.service, service);
    director.setCaughtUp();
    director.onServiceChanged(now, kShard.service);
  }

  static Member member() {
    Member self;
    self.id = kSelf;
    return self;
  }

  void deliver(NodeId sender, MessageBody body) {
    director.onMessage(now, endpointOf(sender), sender, Message{std::move(body)});
  }

  /** Sends a takeover request. @return the reply, if there is one. */
  std::optional<TakeoverReply> requestTakeover(NodeId requester, uint32_t epoch) {
    sent.clear();
    deliver(requester, TakeoverRequest{kShard, 1, epoch});
    for (const auto& [to, message] : sent) {
      const auto* reply = std::get_if<TakeoverReply>(&message.body);
      if (reply != nullptr && to == endpointOf(requester)) {
        return *reply;
      }
    }
    return std::nullopt;
  }

  /** Runs several ticks, in which the node detects its assignment and runs the takeover. */
  void tick() {
    constexpr int kTicks = 3;
    for (int count = 0; count < kTicks; ++count) {
      now += std::chrono::milliseconds(10);
      director.tick(now, 0);
    }
  }

  /** Makes this node a replica of the owner's empty shard. */
  void becomeReplicaOf(NodeId owner) {
    SnapshotChunk chunk;
    chunk.shard = kShard;
    chunk.purpose = SnapshotPurpose::kReplica;
    chunk.attempt = 1;
    chunk.epoch = 2;
    chunk.chunks = 1;
    deliver(owner, chunk);
  }

  void addHost() {
    HostSpec host;
    host.name = "host";
    host.endpoint = Endpoint{0x0B000001, 6080};
    Service service = *services.find(kShard.service);
    service.hosts.push_back(host);
    services.apply(2, kShard.service, service);
    director.onServiceChanged(now, kShard.service);
  }

  /** Opens a flow, for which this node creates an entry. */
  void openFlow() {
    FlowPacket packet;
    packet.hash = FlowHash{1};
    packet.service = kShard.service;
    packet.phase = PacketPhase::kOpening;
    director.decide(now, packet, "packet");
  }

  /** Adds another member to the view and starts leaving. */
  void leaveWithPeer(NodeId other) {
    Member newMember;
    newMember.id = other;
    newMember.address = endpointOf(other).address;
    newMember.controlPort = endpointOf(other).port;
    newMember.state = MemberState::kAlive;
    view.apply(newMember);
    director.onMemberChanged(newMember);
    Member leaving = member();
    leaving.state = MemberState::kLeaving;
    view.apply(leaving);
    director.onMemberChanged(leaving);
    director.leave(now);
  }

  /** @return the last notice that was sent to the node, if there is one. */
  std::optional<OwnershipNotice> lastNoticeTo(NodeId node) const {
    std::optional<OwnershipNotice> last;
    for (const auto& [to, message] : sent) {
      const auto* notice = std::get_if<OwnershipNotice>(&message.body);
      if (notice != nullptr && to == endpointOf(node)) {
        last = *notice;
      }
    }
    return last;
  }

  TimePoint now{std::chrono::seconds(1)};
  SimulatedView view{member()};
  SimulatedServices services;
  FlowTable flows{FlowTableOptions{}};
  std::vector<std::pair<Endpoint, Message>> sent;
  SimulatedSink sink{
      [this](const Endpoint& to, Message message) { sent.emplace_back(to, std::move(message)); }};
  SimulatedHeldSink held{[](TimePoint, const std::string&, PacketSource) {}};
  ShardDirector director{{}, ShardDirectorParts{view, services, flows, sink, held}, 1};
};

}  // namespace

TEST_GROUP(ShardDirector){};

/** The owner could not reply to a joining node that its view did not contain yet. */
TEST(ShardDirector, RepliesToMemberMissingFromView) {
  Member self;
  self.id = NodeId{1};
  SimulatedView view(self);
  SimulatedServices services;
  FlowTable flows(FlowTableOptions{});
  std::vector<Endpoint> receivers;
  SimulatedSink sink([&](const Endpoint& to, const Message&) { receivers.push_back(to); });
  SimulatedHeldSink held([](TimePoint, const std::string&, PacketSource) {});
  ShardDirector director({}, ShardDirectorParts{view, services, flows, sink, held}, 1);

  TakeoverRequest request;
  request.shard = ShardId{ServiceId{7}, 0};
  const Endpoint unknownSender{0x0A000009, 7001};
  director.onMessage(TimePoint(std::chrono::seconds(1)), unknownSender, NodeId{9},
                     Message{request});

  CHECK_EQUAL(1U, receivers.size());
  CHECK(receivers.front() == unknownSender);
}

/**
 * A requester that does not receive the owner's identity takes over the replica's copy although the
 * owner is alive.
 */
TEST(ShardDirector, ReplicaReportsOwnerMissingFromView) {
  SingleNode node;
  node.becomeReplicaOf(kNewNode);
  const auto reply = node.requestTakeover(kRequester, 0);
  CHECK(reply.has_value());
  CHECK(reply->role == HeldRole::kReplica);
  CHECK(reply->successor == kNewNode);
}

TEST(ShardDirector, ReplicaQueriesOwnerMissingFromViewBeforeTakeover) {
  SingleNode node;
  node.becomeReplicaOf(kNewNode);
  node.sent.clear();
  node.tick();
  const bool requestSent = std::any_of(node.sent.begin(), node.sent.end(), [](const auto& entry) {
    return entry.first == endpointOf(kNewNode) &&
           std::holds_alternative<TakeoverRequest>(entry.second.body);
  });
  CHECK(requestSent);
  CHECK_EQUAL(0U, node.director.ownedShards());
}

/** The former owner reported each requester as successor, so that there were two. */
TEST(ShardDirector, FormerOwnerReportsSuccessorMissingFromView) {
  constexpr uint32_t kNewerEpoch = 100;
  SingleNode node;
  node.tick();
  CHECK_EQUAL(1U, node.director.ownedShards());
  const auto released = node.requestTakeover(kNewNode, kNewerEpoch);
  CHECK(released.has_value());
  CHECK(released->role == HeldRole::kOwner);
  const auto reply = node.requestTakeover(kRequester, 0);
  CHECK(reply.has_value());
  CHECK(reply->role == HeldRole::kReleased);
  CHECK(reply->successor == kNewNode);
}

/**
 * While views differed, a former owner requested the shard back, missed that its successor had
 * taken it over, and gave its outdated state to a node on its side of a partition.
 */
TEST(ShardDirector, FormerOwnerThatRequestsShardBackOffersNoOutdatedState) {
  constexpr uint32_t kNewerEpoch = 100;
  constexpr uint32_t kAttempt = 1;
  for (const bool lastAcknowledgementArrives : {true, false}) {
    SingleNode node;
    node.tick();
    CHECK(node.requestTakeover(kNewNode, kNewerEpoch)->role == HeldRole::kOwner);
    node.tick();
    node.deliver(kNewNode, SnapshotAck{kShard, SnapshotPurpose::kTakeover, kAttempt, 0});
    if (lastAcknowledgementArrives) {
      node.tick();
      node.deliver(kNewNode, SnapshotAck{kShard, SnapshotPurpose::kTakeover, kAttempt, 1});
    } else {
      node.deliver(kNewNode, OwnershipNotice{kShard, kNewerEpoch + 1, false});
    }
    Member dead;
    dead.id = NodeId{5};
    dead.state = MemberState::kDead;
    node.director.onMemberChanged(dead);
    const auto reply = node.requestTakeover(kRequester, 0);
    CHECK(reply.has_value());
    CHECK(reply->role == HeldRole::kNothing);
  }
}

/**
 * Two nodes created the same shard, and the fenced one served its empty state to its side of a
 * partition while the other was alive on the far side.
 */
TEST(ShardDirector, FencedOwnerOffersNoStateWhileNewerOwnerMayBeAlive) {
  SingleNode node;
  node.tick();
  CHECK_EQUAL(1U, node.director.ownedShards());
  node.deliver(kNewNode, OwnershipNotice{kShard, 5, false});
  CHECK_EQUAL(0U, node.director.ownedShards());
  CHECK(node.requestTakeover(kRequester, 0)->role == HeldRole::kReleased);
  Member dead;
  dead.id = NodeId{5};
  dead.state = MemberState::kDead;
  node.director.onMemberChanged(dead);
  CHECK(node.requestTakeover(kRequester, 0)->role == HeldRole::kNothing);
}

/**
 * The empty state of an owner fenced by another one of the same epoch was never fetched, and the
 * planned stop waited for it until its limit.
 */
TEST(ShardDirector, FencedOwnerWithoutFlowsDoesNotDelayLeave) {
  SingleNode node;
  node.tick();
  CHECK_EQUAL(1U, node.director.ownedShards());
  node.deliver(kNewNode, OwnershipNotice{kShard, 1, false});
  CHECK_EQUAL(0U, node.director.ownedShards());
  Member newMember;
  newMember.id = kNewNode;
  newMember.state = MemberState::kAlive;
  node.view.apply(newMember);
  node.director.onMemberChanged(newMember);
  Member leaving = SingleNode::member();
  leaving.state = MemberState::kLeaving;
  node.view.apply(leaving);
  node.director.onMemberChanged(leaving);
  node.director.leave(node.now);
  CHECK(node.director.handedOver());
  CHECK(node.director.pendingHandovers().empty());
}

/**
 * An owner fenced by another one of the same epoch delayed its planned stop until the limit for
 * flows that are never fetched.
 */
TEST(ShardDirector, FencedOwnerWithFlowsDelaysLeaveOnlyForNotices) {
  constexpr auto kNoticeTime = std::chrono::seconds(5);
  SingleNode node;
  node.addHost();
  node.tick();
  node.openFlow();
  node.deliver(kNewNode, OwnershipNotice{kShard, 1, false});
  node.leaveWithPeer(kNewNode);
  CHECK_EQUAL(1U, node.director.pendingHandovers().size());
  CHECK_EQUAL(1U, node.director.pendingHandovers().front().flows);
  CHECK(node.director.pendingHandovers().front().fenced);
  node.sent.clear();
  node.tick();
  CHECK(node.lastNoticeTo(kNewNode)->holdsFlows);
  node.now += kNoticeTime;
  node.tick();
  CHECK(node.director.handedOver());
}

/**
 * The last acknowledgement of a fetch was lost, and no message of the new owner reached the leaving
 * node.
 */
TEST(ShardDirector, LeavingNodeQueriesWhetherStateWasFetched) {
  SingleNode node;
  node.tick();
  node.leaveWithPeer(kNewNode);
  CHECK(node.requestTakeover(kNewNode, 0)->role == HeldRole::kOwner);
  CHECK_EQUAL(1U, node.director.pendingHandovers().size());
  node.sent.clear();
  node.now += std::chrono::seconds(1);
  node.tick();
  const auto query = node.lastNoticeTo(kNewNode);
  CHECK(query.has_value());
  CHECK_FALSE(query->holdsFlows);
  node.deliver(kNewNode, OwnershipNotice{kShard, query->epoch + 1, false});
  CHECK(node.director.handedOver());
}

TEST(ShardDirector, ReportsPendingHandoversOfLeave) {
  SingleNode node;
  node.tick();
  Member newMember;
  newMember.id = kNewNode;
  newMember.state = MemberState::kAlive;
  node.view.apply(newMember);
  node.director.onMemberChanged(newMember);
  Member leaving = SingleNode::member();
  leaving.state = MemberState::kLeaving;
  node.view.apply(leaving);
  node.director.onMemberChanged(leaving);
  node.director.leave(node.now);
  const std::vector<PendingHandover> pending = node.director.pendingHandovers();
  CHECK_EQUAL(1U, pending.size());
  CHECK(pending.front().shard == kShard);
  CHECK(pending.front().role == ShardRole::kOwner);
  CHECK_FALSE(pending.front().fenced);
  CHECK_FALSE(node.director.handedOver());
}
