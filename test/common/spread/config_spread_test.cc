/** @file Tests of configuration distribution and of coverage. */
#include "test/common/spread/spread_region.h"

// After the library headers: it replaces operator new with a macro.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t kNodes = 12;

}  // namespace

TEST_GROUP(ConfigSpread) {
  SpreadRegion region{11};
};

TEST(ConfigSpread, ChangeIsEffectiveOnAllNodesWithin1500Milliseconds) {
  region.startAll(kNodes);
  region.publish(1, SpreadRegion::recordOf("dispatch", 5));
  region.run(milliseconds(1500));
  for (auto& [id, node] : region.nodes) {
    CHECK_EQUAL(5, node.control->store.versionOf({ObjectKind::kService, "dispatch"}));
    CHECK_EQUAL(5, node.control->spread.effectiveVersion());
  }
}

TEST(ConfigSpread, ChangeReachesAllNodesDespitePacketLoss) {
  region.startAll(kNodes);
  region.network.faults.loss = 0.2;
  region.publish(1, SpreadRegion::recordOf("dispatch", 5));
  region.run(seconds(6));
  CHECK_EQUAL(kNodes, region.countEqual(1));
}

TEST(ConfigSpread, NodeIsCaughtUpOnlyOnceItHoldsAllRecordsOfItsPeers) {
  region.startAll(3);
  for (uint64_t version = 1; version <= 300; ++version) {
    region.publish(1, SpreadRegion::recordOf("s" + std::to_string(version), version));
  }
  region.run(seconds(5));
  ControlNode& late = region.start(4);
  for (int step = 0; step < 1000 && !late.spread.caughtUp(); ++step) {
    CHECK_TRUE(late.detector.selfMember().state == MemberState::kJoining);
    region.run(SpreadRegion::kTick);
  }
  CHECK_TRUE(late.spread.caughtUp());
  CHECK_EQUAL(300, late.store.size());
  CHECK_EQUAL(region.control(1).store.total(), late.store.total());
}

TEST(ConfigSpread, NodeNeedsTwoMatchingPeersToBeCaughtUp) {
  region.startAll(4);
  ControlNode& late = region.start(5);
  const DigestReply agreement{{late.store.total(), 0}, true, {}, {}};
  const auto agree = [&](uint32_t peer) {
    late.spread.handle(region.network.now(), SpreadRegion::memberOf(peer).controlEndpoint(),
                       NodeId{peer}, agreement);
  };
  JoinReply members;
  for (uint32_t id = 1; id <= 4; ++id) {
    members.members.push_back(region.control(id).detector.selfMember());
  }
  late.detector.handle(region.network.now(), Endpoint{}, NodeId{1}, members);
  agree(1);
  agree(1);
  CHECK_FALSE(late.spread.caughtUp());
  agree(2);
  CHECK_TRUE(late.spread.caughtUp());
}

TEST(ConfigSpread, AnswersBucketSummaryWithNewerRecords) {
  region.startAll(1);
  region.publish(1, SpreadRegion::recordOf("dispatch", 5));
  const RecordKey key{ObjectKind::kService, "dispatch"};
  size_t pushed = 0;
  region.network.onSend = [&](NodeId, NodeId, const Message& message) {
    const auto* push = std::get_if<RecordPush>(&message.body);
    pushed += push != nullptr ? push->records.size() : 0;
  };
  const auto summarize = [&](std::vector<RecordVersion> versions) {
    const DigestReply summary{{1, 0}, true, {digestBucketOf(key)}, std::move(versions)};
    region.control(1).spread.handle(region.network.now(), Endpoint{1, 1}, NodeId{2}, summary);
  };
  summarize({{key, 5}});
  CHECK_EQUAL(0, pushed);
  summarize({{key, 4}});
  CHECK_EQUAL(1, pushed);
  summarize({});
  CHECK_EQUAL(2, pushed);
}

TEST(ConfigSpread, NoNodeIsCaughtUpBeforeAReaderHasListedTheStore) {
  for (uint32_t id = 1; id <= 3; ++id) {
    region.start(id);
  }
  region.run(seconds(10));
  for (auto& [id, node] : region.nodes) {
    CHECK_FALSE(node.control->spread.caughtUp());
  }
  region.control(2).spread.setStoreListed();
  region.run(seconds(5));
  for (auto& [id, node] : region.nodes) {
    CHECK_TRUE(node.control->spread.caughtUp());
  }
}

TEST(ConfigSpread, VersionIsNotEffectiveWhileAnEarlierChangeIsMissing) {
  region.startAll(2);
  region.network.faults.isCut = [](NodeId, NodeId) { return true; };
  region.publish(1, SpreadRegion::recordOf("a", 5));
  region.publish(1, SpreadRegion::recordOf("b", 6));
  region.run(milliseconds(50));
  RecordPush onlyTheSecond{
      {SpreadRegion::recordOf("b", 6)}, false, {region.control(1).store.total(), 6}};
  ControlNode& second = region.control(2);
  second.spread.handle(region.network.now(), Endpoint{}, NodeId{1}, onlyTheSecond);
  CHECK_EQUAL(0, second.spread.effectiveVersion());
  region.network.faults.isCut = nullptr;
  region.run(seconds(3));
  CHECK_EQUAL(6, second.spread.effectiveVersion());
}

TEST(ConfigSpread, FragmentedRecordIsReassembled) {
  region.startAll(kNodes);
  region.network.faults.loss = 0.05;
  region.publish(1, SpreadRegion::recordOf("mapstore", 5, 9000));
  region.run(seconds(10));
  CHECK_EQUAL(kNodes, region.countEqual(1));
  CHECK_TRUE(region.control(7).store.find({ObjectKind::kService, "mapstore"}) ==
             SpreadRegion::recordOf("mapstore", 5, 9000));
}

TEST(ConfigSpread, StaleRecordFromReaderIsIgnored) {
  region.startAll(kNodes);
  region.publish(1, SpreadRegion::recordOf("dispatch", 9));
  region.run(seconds(2));
  region.publish(4, SpreadRegion::recordOf("dispatch", 5));
  region.run(seconds(3));
  for (auto& [id, node] : region.nodes) {
    CHECK_EQUAL(9, node.control->store.versionOf({ObjectKind::kService, "dispatch"}));
  }
}

TEST(ConfigSpread, ContactsSendChangesToAnotherRegion) {
  region.startAll(4);
  for (uint32_t index = 0; index < 4; ++index) {
    region.start(SpreadRegion::kOtherRegion + index);
  }
  region.publish(1, SpreadRegion::recordOf("dispatch", 5));
  region.run(seconds(3));
  std::vector<ContactCandidate> machines;
  for (const uint32_t base : {1U, SpreadRegion::kOtherRegion}) {
    for (uint32_t index = 0; index < 4; ++index) {
      machines.push_back(SpreadRegion::candidate(base + index));
    }
  }
  region.control(1).spread.setMachineList(region.network.now(), machines);
  region.run(seconds(10));
  CHECK_EQUAL(8, region.countEqual(1));
  CHECK_TRUE(region.control(SpreadRegion::kOtherRegion + 3).spread.caughtUp());
  region.publish(1, SpreadRegion::recordOf("dispatch", 6));
  region.run(seconds(3));
  CHECK_EQUAL(6, region.control(SpreadRegion::kOtherRegion + 3).spread.effectiveVersion());
}

TEST(ConfigSpread, ChangeReachesAnotherRegionDespiteAnUnresponsiveContact) {
  constexpr uint32_t kRegionNodes = 5;
  region.startAll(kRegionNodes);
  std::vector<ContactCandidate> machines;
  for (uint32_t index = 0; index < kRegionNodes; ++index) {
    region.start(SpreadRegion::kOtherRegion + index);
    machines.push_back(SpreadRegion::candidate(1 + index));
    machines.push_back(SpreadRegion::candidate(SpreadRegion::kOtherRegion + index));
  }
  region.control(1).spread.setMachineList(region.network.now(), machines);
  region.run(seconds(15));
  const RecordKey key{ObjectKind::kService, "dispatch"};
  for (uint64_t version = 6; version <= 20; ++version) {
    // Node 1 reads the store; another contact does not respond.
    region.pause(2, true);
    region.publish(1, SpreadRegion::recordOf("dispatch", version));
    region.run(milliseconds(2900));
    const auto& farthest = region.control(SpreadRegion::kOtherRegion + kRegionNodes - 1);
    CHECK_EQUAL(version, farthest.store.versionOf(key));
    region.pause(2, false);
  }
}

TEST(ConfigSpread, NodeWithoutTransferBudgetIgnoresLongComparisons) {
  SpreadOptions options;
  options.transferBudget = {0, 1000};
  options.fullCopyTime = std::chrono::hours(24);
  MessageNetwork network(1);
  const Member self = SpreadRegion::memberOf(1);
  const Member late = SpreadRegion::memberOf(2);
  uint32_t answers = 0;
  network.attach(late.id, late.controlEndpoint(),
                 [&](TimePoint, const Endpoint&, NodeId, const Message&) { ++answers; });
  MessageSink& sink = network.attach(self.id, self.controlEndpoint(),
                                     [](TimePoint, const Endpoint&, NodeId, const Message&) {});
  ControlNode node(self, 1, sink, options);
  JoinReply members;
  members.members = {self, late};
  node.detector.handle(network.now(), Endpoint{}, NodeId{}, members);
  RecordRequest request;
  for (uint64_t version = 1; version <= 300; ++version) {
    const ConfigRecord record = SpreadRegion::recordOf("s" + std::to_string(version), version);
    node.spread.publish(network.now(), {record});
    request.keys.push_back(record.key);
  }
  request.keys.resize(4);
  const DigestRequest fromStartingNode{{12345, 0}, true, kAllGroups, {}};
  const DigestRequest fromCaughtUpNode{{12345, 0}, false, kAllGroups, {}};
  const auto query = [&](const auto& message) {
    answers = 0;
    node.spread.handle(network.now(), late.controlEndpoint(), late.id, message);
    network.advanceTo(network.now() + seconds(1));
    return answers;
  };
  CHECK_TRUE(query(request) > 0);
  CHECK_TRUE(query(fromStartingNode) >
             0);  // Not caught up itself, so starting nodes are not limited.
  node.spread.setStoreListed();
  CHECK_EQUAL(0, query(fromStartingNode));
  CHECK_TRUE(query(fromCaughtUpNode) > 0);
  CHECK_TRUE(query(request) > 0);
}

TEST(ConfigSpread, KeepsListedContactsAndReplacesUnlistedOnes) {
  region.startAll(1);
  std::vector<ContactCandidate> machines;
  for (uint32_t id = 1; id <= 5; ++id) {
    machines.push_back(SpreadRegion::candidate(id));
  }
  const ConfigSpread& spread = region.control(1).spread;
  const RegionId hobart = regionIdOf("hobart");
  region.control(1).spread.setMachineList(region.network.now(), machines);
  CHECK_TRUE(spread.contacts().isContact(hobart, NodeId{1}));
  machines.erase(machines.begin());
  region.control(1).spread.setMachineList(region.network.now(), machines);
  CHECK_FALSE(spread.contacts().isContact(hobart, NodeId{1}));
  CHECK_TRUE(spread.contacts().isContact(hobart, NodeId{2}));
  CHECK_TRUE(spread.contacts().isContact(hobart, NodeId{4}));
  CHECK_EQUAL(0, contactRecordsFor(region.control(1).store, machines).size());
}

TEST(ConfigSpread, CoverageReportsSlowestNode) {
  region.startAll(kNodes);
  region.network.faults.isCut = [](NodeId from, NodeId to) {
    return from == NodeId{7} || to == NodeId{7};
  };
  region.publish(1, SpreadRegion::recordOf("dispatch", 5));
  region.control(3).coverage.refresh(region.network.now());
  region.run(milliseconds(2500));
  const auto summary = region.control(3).coverage.summary();
  CHECK_EQUAL(1, summary.size());
  CHECK_EQUAL(5, summary.front().version);
  CHECK_EQUAL(kNodes, summary.front().nodes);
  CHECK_EQUAL(kNodes - 1, summary.front().nodesAtVersion);
  CHECK_TRUE(NodeId{7} == summary.front().slowest);
  region.network.faults.isCut = nullptr;
  region.run(seconds(10));
  CHECK_EQUAL(kNodes, region.control(3).coverage.summary().front().nodesAtVersion);
}

TEST(ConfigSpread, TwoOfThreeContactsForwardEachObjectWithBalancedLoad) {
  constexpr uint32_t kObjects = 300;
  std::vector<ContactCandidate> machines;
  for (uint32_t id = 1; id <= kContactsPerRegion; ++id) {
    machines.push_back(SpreadRegion::candidate(id));
    machines.push_back(SpreadRegion::candidate(SpreadRegion::kOtherRegion + id));
  }
  RandomSource random(1);
  ContactBook contacts;
  for (const ConfigRecord& record : contactRecordsFor(RecordStore{}, machines)) {
    contacts.onRecordApplied(record);
  }
  const RegionId hobart = regionIdOf("hobart");
  const RegionId addis = regionIdOf("addis");
  std::map<uint32_t, uint32_t> assigned;
  for (uint32_t object = 0; object < kObjects; ++object) {
    const RecordKey key{ObjectKind::kService, "s" + std::to_string(object)};
    uint32_t forwarders = 0;
    for (uint32_t id = 1; id <= kContactsPerRegion; ++id) {
      const bool isForwarder = contacts.isForwarder(hobart, NodeId{id}, key, addis, 2);
      forwarders += isForwarder ? 1 : 0;
      assigned[id] += isForwarder ? 1 : 0;
    }
    CHECK_EQUAL(2, forwarders);
  }
  for (const auto& [id, count] : assigned) {
    CHECK_TRUE(count > kObjects / 2 && count < kObjects * 5 / 6);
  }
  CHECK_EQUAL(1, contacts.otherRegions(hobart).size());
  CHECK_TRUE(contacts.pickRegions(hobart, 2, random).front() == addis);
}

TEST(ConfigSpread, TransferBudgetAppliesAfterStartTime) {
  SpreadOptions options;
  options.transferBudget = {0, 1};
  options.fullCopyTime = std::chrono::hours(24);
  MessageNetwork network(1);
  const Member self = SpreadRegion::memberOf(1);
  const Member late = SpreadRegion::memberOf(2);
  uint32_t answers = 0;
  network.attach(late.id, late.controlEndpoint(),
                 [&](TimePoint, const Endpoint&, NodeId, const Message& message) {
                   answers += std::holds_alternative<DigestRequest>(message.body) ? 1 : 0;
                 });
  MessageSink& sink = network.attach(self.id, self.controlEndpoint(),
                                     [](TimePoint, const Endpoint&, NodeId, const Message&) {});
  ControlNode node(self, 1, sink, options);
  JoinReply members;
  members.members = {self, late};
  node.detector.handle(network.now(), Endpoint{}, NodeId{}, members);
  for (uint64_t version = 1; version <= 300; ++version) {
    node.spread.publish(network.now(),
                        {SpreadRegion::recordOf("s" + std::to_string(version), version)});
  }
  const DigestRequest fromStartingNode{{12345, 0}, true, kAllGroups, {}};
  const auto answersNow = [&] {
    answers = 0;
    node.spread.handle(network.now(), late.controlEndpoint(), late.id, fromStartingNode);
    network.advanceTo(network.now() + seconds(1));
    return answers;
  };
  CHECK_EQUAL(1, answersNow());
  CHECK_EQUAL(1, answersNow());  // The budget is exhausted, but the node has just started.
  network.advanceTo(network.now() + options.startTime);
  CHECK_EQUAL(0, answersNow());
}

TEST(ConfigSpread, TwoNodesFetchManySmallBucketsFromOneCaughtUpNodeWithinStartTime) {
  constexpr uint32_t kRecords = 1235;
  region.start(1);
  for (uint32_t version = 1; version <= kRecords; ++version) {
    region.publish(1, SpreadRegion::recordOf("s" + std::to_string(version), version, 200));
  }
  region.control(1).spread.setStoreListed();
  region.run(seconds(2));
  region.start(2);
  region.start(3);
  region.run(SpreadOptions{}.startTime);
  CHECK_TRUE(region.control(2).spread.caughtUp());
  CHECK_TRUE(region.control(3).spread.caughtUp());
  CHECK_EQUAL(3, region.countEqual(1));
}

TEST(ConfigSpread, TransfersToAnotherRegionAreNotChargedToTheBudget) {
  SpreadOptions options;
  options.transferBudget = {0, 1000};
  options.fullCopyTime = std::chrono::hours(24);
  MessageNetwork network(1);
  const Member self = SpreadRegion::memberOf(1);
  const Member late = SpreadRegion::memberOf(2);
  const Member foreign = SpreadRegion::memberOf(SpreadRegion::kOtherRegion);
  uint32_t answers = 0;
  const auto count = [&](TimePoint, const Endpoint&, NodeId, const Message&) { ++answers; };
  network.attach(late.id, late.controlEndpoint(), count);
  network.attach(foreign.id, foreign.controlEndpoint(), count);
  MessageSink& sink = network.attach(self.id, self.controlEndpoint(),
                                     [](TimePoint, const Endpoint&, NodeId, const Message&) {});
  ControlNode node(self, 1, sink, options);
  JoinReply members;
  members.members = {self, late};
  node.detector.handle(network.now(), Endpoint{}, NodeId{}, members);
  node.spread.setMachineList(network.now(), {SpreadRegion::candidate(SpreadRegion::kOtherRegion)});
  RecordRequest request;
  for (uint64_t version = 1; version <= 300; ++version) {
    const ConfigRecord record = SpreadRegion::recordOf("s" + std::to_string(version), version);
    node.spread.publish(network.now(), {record});
    request.keys.push_back(record.key);
  }
  node.spread.setStoreListed();
  const auto query = [&](const Member& peer, const auto& message) {
    answers = 0;
    node.spread.handle(network.now(), peer.controlEndpoint(), peer.id, message);
    network.advanceTo(network.now() + seconds(1));
    return answers;
  };
  CHECK_TRUE(query(foreign, request) > 0);
  const DigestRequest fromStartingNode{{12345, 0}, true, kAllGroups, {}};
  CHECK_TRUE(query(late, fromStartingNode) > 0);
}

TEST(ConfigSpread, StartingContactFetchesFromItsOwnRegion) {
  region.startAll(4);
  for (uint32_t index = 0; index < 4; ++index) {
    region.start(SpreadRegion::kOtherRegion + index);
  }
  std::vector<ContactCandidate> machines;
  for (const uint32_t base : {1U, SpreadRegion::kOtherRegion}) {
    for (uint32_t index = 0; index < 4; ++index) {
      machines.push_back(SpreadRegion::candidate(base + index));
    }
  }
  region.control(1).spread.setMachineList(region.network.now(), machines);
  for (uint64_t version = 1; version <= 300; ++version) {
    region.publish(1, SpreadRegion::recordOf("s" + std::to_string(version), version));
  }
  region.run(seconds(15));
  region.crash(2);
  region.run(seconds(15));
  const ControlNode& late = region.start(2, 2);
  uint32_t pushedAcross = 0;
  region.network.onSend = [&](NodeId from, NodeId to, const Message& message) {
    const bool pushes = std::holds_alternative<RecordPush>(message.body);
    pushedAcross += pushes && from.value >= SpreadRegion::kOtherRegion && to == NodeId{2} ? 1 : 0;
  };
  region.run(seconds(15));
  CHECK_TRUE(late.spread.caughtUp());
  CHECK_TRUE(pushedAcross <= 2);
}
