/**
 * @file The owner's log and the replica's copy: few datagrams, and identical flows on both sides.
 */
#include "common/shard/replication_log.h"

#include <unordered_map>

#include "common/base/random.h"
#include "common/shard/replica_copy.h"
#include "common/shard/snapshot.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};
constexpr NodeId kOwner{1};
constexpr uint32_t kEpoch = 1;
const ShardId kShard{ServiceId{7}, 0};

size_t changesOf(const ReplicaAppend& batch) {
  return batch.added.size() + batch.removed.size() + batch.refused.size();
}

}  // namespace

TEST_GROUP(ReplicationLog) {
  ReplicationLog log;
  ReplicaCopy copy;
  ByteBudget budget{{1e9, 1e9}};
  TimePoint now = kStart;

  void setup() override {
    log.reset(now);
    ShardContent content;
    content.epoch = kEpoch;
    content.sequence = log.startSnapshot();
    const SnapshotIdentity identity{kShard, SnapshotPurpose::kReplica, 1};
    for (const SnapshotChunk& chunk : splitSnapshot(identity, content)) {
      copy.onChunk(now, kOwner, chunk);
    }
    log.onSnapshotDelivered(now);
  }
  void add(uint64_t flow, uint64_t host = 1) {
    log.appendAdded(now, PinnedFlow{FlowHash{flow}, HostId{host}});
  }
  void remove(uint64_t flow) {
    log.appendRemoved(now, FlowHash{flow});
  }
  std::optional<ReplicaAppend> poll() {
    return log.poll(now, budget, kShard, kEpoch);
  }
  /** Delivers the batch and its acknowledgement. */
  void deliver(const ReplicaAppend& batch) {
    log.onAck(now, copy.onAppend(now, kOwner, batch).nextSequence);
  }
  std::unordered_map<FlowHash, HostId> replicatedFlows() const {
    std::unordered_map<FlowHash, HostId> flows;
    for (const PinnedFlow& pinned : copy.content().pinned) {
      flows[pinned.flow] = pinned.host;
    }
    return flows;
  }
};

/** Flows start and end alternately; a datagram costs more than several changes. */
TEST(ReplicationLog, ChangesOfDifferentFlowsShareDatagramInAnyOrder) {
  for (uint64_t flow = 1; flow <= 10; ++flow) {
    add(flow);
    remove(100 + flow);
  }
  const auto batch = poll();
  CHECK_EQUAL(20U, changesOf(*batch));
  deliver(*batch);
  CHECK_EQUAL(0U, log.pending());
  CHECK_EQUAL(10U, replicatedFlows().size());
}

TEST(ReplicationLog, FlowRemovedAndAddedAgainWaitsForNextDatagram) {
  add(1, 5);
  remove(1);
  add(1, 6);
  add(2, 5);
  const auto first = poll();
  CHECK_EQUAL(2U, changesOf(*first));
  deliver(*first);
  CHECK(replicatedFlows().empty());
  const auto second = poll();
  deliver(*second);
  CHECK(replicatedFlows().at(FlowHash{1}) == HostId{6});
  CHECK_EQUAL(2U, replicatedFlows().size());
}

TEST(ReplicationLog, AppliesResentDatagramWithAdditionalChanges) {
  add(1);
  remove(50);
  const auto first = poll();
  copy.onAppend(now, kOwner, *first);  // Delivered, but the acknowledgement is lost.
  add(2);
  remove(51);
  add(3);
  now += ReplicationLog::kInitialResendInterval;
  const auto again = poll();
  CHECK_EQUAL(5U, changesOf(*again));
  deliver(*again);
  CHECK_EQUAL(3U, replicatedFlows().size());
  CHECK_EQUAL(0U, log.pending());
}

TEST(ReplicationLog, CopyConvergesDespiteLossDuplicationAndDelay) {
  constexpr uint64_t kFlows = 12;  // Few, so that flows are added again often.
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    RandomSource random(seed);
    std::unordered_map<FlowHash, HostId> expected = replicatedFlows();
    std::vector<ReplicaAppend> delayed;
    for (int step = 0; step < 3000; ++step) {
      now += std::chrono::milliseconds(40);
      const FlowHash flow{random.below(kFlows)};
      const HostId host{1 + random.below(3)};
      if (expected.erase(flow) > 0) {
        log.appendRemoved(now, flow);
      } else {
        expected[flow] = host;
        log.appendAdded(now, PinnedFlow{flow, host});
      }
      const auto batch = poll();
      if (batch && random.unit() < 0.3) {
        delayed.push_back(*batch);
      }
      if (batch && random.unit() < 0.6) {
        const ReplicaAck ack = copy.onAppend(now, kOwner, *batch);
        if (random.unit() < 0.6) {
          log.onAck(now, ack.nextSequence);
        }
      }
      if (!delayed.empty() && random.unit() < 0.2) {
        copy.onAppend(now, kOwner, delayed[random.below(delayed.size())]);
      }
    }
    while (log.pending() > 0) {
      now += std::chrono::seconds(4);
      deliver(*poll());
    }
    CHECK(expected == replicatedFlows());
  }
}

/**
 * Two shards of one owner share its budget: 17 exceptions per second and their ends, in datagrams
 * that have a fixed overhead. The log with the oldest pending change is served first, as on a node.
 */
TEST(ReplicationLog, KeepsUpWithTwoBusyShardsOnTheUsualBudget) {
  constexpr auto kStep = std::chrono::milliseconds(5);
  constexpr auto kFlowInterval = std::chrono::milliseconds(60);
  constexpr uint64_t kLiveFlows = 130;
  ByteBudget defaultBudget{ByteBudgetOptions{}};
  ReplicationLog logs[2];
  for (ReplicationLog& each : logs) {
    each.reset(now);
    each.startSnapshot();
    each.onSnapshotDelivered(now);
  }
  uint64_t flow = 0;
  TimePoint nextFlow = now;
  size_t stepsBehind = 0;
  const TimePoint end = now + std::chrono::seconds(60);
  for (; now < end; now += kStep) {
    if (now >= nextFlow) {
      nextFlow += kFlowInterval;
      ++flow;
      logs[flow % 2].appendAdded(now, PinnedFlow{FlowHash{flow}, HostId{flow % 15}});
      if (flow > kLiveFlows) {
        logs[flow % 2].appendRemoved(now, FlowHash{flow - kLiveFlows});
      }
    }
    const bool secondFirst = logs[1].oldestUrgentChangeTime() < logs[0].oldestUrgentChangeTime();
    for (const size_t index : {secondFirst ? 1U : 0U, secondFirst ? 0U : 1U}) {
      ReplicationLog& each = logs[index];
      stepsBehind += each.current(now) ? 0 : 1;
      const auto batch = each.poll(now, defaultBudget, kShard, kEpoch);
      if (batch) {
        each.onAck(now, each.firstSequence() + static_cast<uint32_t>(changesOf(*batch)));
      }
    }
  }
  LONGS_EQUAL(0, stepsBehind);
}

/** A log with few changes must not use up the bytes that another log waits for. */
TEST(ReplicationLog, SendsLargeBatchBeforeBudgetCoversAllOfIt) {
  constexpr double kPerSecond = 600.0;
  ByteBudget scarce{{kPerSecond, kPerSecond}};
  scarce.consume(now, kPerSecond - 1.0);
  for (uint64_t flow = 1; flow <= 20; ++flow) {
    add(flow);
  }
  const auto batch = log.poll(now, scarce, kShard, kEpoch);
  CHECK_TRUE(batch.has_value());
  CHECK_EQUAL(20U, changesOf(*batch));
  CHECK_FALSE(scarce.hasTokens(now));
  deliver(*batch);
  add(21);
  CHECK_FALSE(log.poll(now, scarce, kShard, kEpoch).has_value());
}

TEST(ReplicationLog, SendsAddedFlowAtOnce) {
  add(1);
  CHECK_TRUE(poll().has_value());
}

/** A replica that pins an ended flow a little longer does no harm. */
TEST(ReplicationLog, DelaysRemovalsAloneUpToMaximum) {
  remove(1);
  CHECK_TRUE(log.oldestUrgentChangeTime() == TimePoint::max());
  CHECK_FALSE(poll().has_value());
  now += std::chrono::milliseconds(100);
  add(2);
  CHECK_TRUE(log.oldestUrgentChangeTime() == now);
  const auto together = poll();
  CHECK_EQUAL(2U, changesOf(*together));
  deliver(*together);
  remove(3);
  now += ReplicationLog::kMaxRemovalDelay;
  CHECK_EQUAL(1U, changesOf(*poll()));
}

/** A new owner needs the record to refuse the same flow again. */
TEST(ReplicationLog, SendsRefusalAtOnce) {
  log.appendRefused(now, FlowHash{1});
  CHECK_TRUE(poll().has_value());
}
