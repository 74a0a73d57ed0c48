/** @file Tests of the flow table: expiry, eviction and counters. */
#include "common/flow/flow_table.h"

#include <rapidcheck.h>

#include <map>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace umberhold;
using std::chrono::seconds;

namespace {

constexpr uint32_t kIdleTimeout = 3600;
const TimePoint kStart{seconds(1000)};

/** Records the flows that the table removed. */
class RecordingObserver : public FlowTableObserver {
 public:
  void onFlowRemoved(uint32_t, const FlowEntry& entry, RemovalCause cause) override {
    removed[entry.flow.value] = cause;
  }
  std::map<uint64_t, RemovalCause> removed;
};

NewFlow newFlow(uint32_t shard, uint64_t flow, PacketPhase phase, uint32_t caller) {
  return NewFlow{shard, FlowHash{flow}, static_cast<uint16_t>(flow % 5), false, phase, caller};
}

/** Runs enough ticks to scan a small table more than once. */
void sweep(FlowTable& table, TimePoint now) {
  for (int step = 0; step < 400; ++step) {
    table.tick(now);
  }
}

}  // namespace

TEST_GROUP(FlowTable) {
  FlowTableOptions options;

  void setup() override {
    options.capacity = 1000;
    options.seed = 42;
    options.sourceLimits = SourceLimits{50, 80};
  }
};

TEST(FlowTable, TableFullOfEstablishedFlowsRefusesNewOnesAndKeepsThem) {
  FlowTable table(options);
  const uint32_t shard = table.addShard(kIdleTimeout);
  for (uint64_t flow = 1; flow <= options.capacity; ++flow) {
    CHECK(isOk(table.insert(kStart, newFlow(shard, flow, PacketPhase::kContinuing, 7))));
  }
  const auto result = table.insert(kStart, newFlow(shard, 5000, PacketPhase::kOpening, 8));
  CHECK_FALSE(isOk(result));
  CHECK(errorOf(result) == DropReason::kFlowTableFull);
  for (uint64_t flow = 1; flow <= options.capacity; ++flow) {
    CHECK(table.find(kStart, shard, FlowHash{flow}).has_value());
  }
}

TEST(FlowTable, FloodFromOneSourceIsLimitedAndReleasedWhenFlowsEstablish) {
  FlowTable table(options);
  const uint32_t shard = table.addShard(kIdleTimeout);
  constexpr uint32_t kFlooder = 0x0A000001;
  for (uint64_t flow = 0; flow < 50; ++flow) {
    CHECK(isOk(table.insert(kStart, newFlow(shard, flow, PacketPhase::kOpening, kFlooder))));
  }
  const auto limited = table.insert(kStart, newFlow(shard, 50, PacketPhase::kOpening, kFlooder));
  CHECK(!isOk(limited) && errorOf(limited) == DropReason::kFloodLimited);
  // Another address of the same /24 may add flows up to the prefix limit; other prefixes have their
  // own limit.
  for (uint64_t flow = 100; flow < 130; ++flow) {
    CHECK(isOk(table.insert(kStart, newFlow(shard, flow, PacketPhase::kOpening, kFlooder + 1))));
  }
  CHECK_FALSE(isOk(table.insert(kStart, newFlow(shard, 130, PacketPhase::kOpening, kFlooder + 2))));
  CHECK(isOk(table.insert(kStart, newFlow(shard, 131, PacketPhase::kOpening, 0xC0A80001))));
  table.touch(kStart, shard, FlowHash{1}, PacketPhase::kContinuing);
  CHECK(isOk(table.insert(kStart, newFlow(shard, 50, PacketPhase::kOpening, kFlooder))));
}

TEST(FlowTable, FullTableEvictsResetThenIdleClosingThenOldestUnestablishedFlows) {
  RecordingObserver observer;
  options.capacity = 6;
  FlowTable table(options);
  table.setObserver(&observer);
  const uint32_t shard = table.addShard(kIdleTimeout);
  table.insert(kStart, newFlow(shard, 1, PacketPhase::kContinuing, 1));
  table.insert(kStart, newFlow(shard, 2, PacketPhase::kOpening, 2));
  table.insert(kStart + seconds(3), newFlow(shard, 3, PacketPhase::kOpening, 3));
  table.insert(kStart, newFlow(shard, 4, PacketPhase::kClosing, 4));
  table.insert(kStart, newFlow(shard, 5, PacketPhase::kReset, 5));
  // The caller of flow 6 has closed its side and is still receiving a long answer.
  table.insert(kStart, newFlow(shard, 6, PacketPhase::kClosing, 6));
  const TimePoint now = kStart + seconds(20);
  table.touch(now, shard, FlowHash{6}, PacketPhase::kContinuing);
  const uint64_t expected[] = {5, 4, 2, 3, 6};
  for (size_t step = 0; step < 5; ++step) {
    const uint64_t next = 10 + step;
    CHECK(isOk(table.insert(now, newFlow(shard, next, PacketPhase::kContinuing, 9))));
    CHECK_EQUAL(step + 1, observer.removed.size());
    CHECK(observer.removed.count(expected[step]) == 1);
    CHECK(observer.removed[expected[step]] == RemovalCause::kTableFull);
  }
  CHECK_FALSE(isOk(table.insert(kStart, newFlow(shard, 20, PacketPhase::kOpening, 9))));
  CHECK(table.find(kStart, shard, FlowHash{1}).has_value());
}

TEST(FlowTable, ClosedFlowsExpireSoonerThanIdleOnes) {
  RecordingObserver observer;
  FlowTable table(options);
  table.setObserver(&observer);
  const uint32_t shard = table.addShard(kIdleTimeout);
  for (uint64_t flow = 1; flow <= 4; ++flow) {
    table.insert(kStart, newFlow(shard, flow, PacketPhase::kContinuing, 1));
  }
  table.touch(kStart, shard, FlowHash{1}, PacketPhase::kReset);
  table.touch(kStart, shard, FlowHash{2}, PacketPhase::kClosing);
  // The caller of flow 3 has closed its side and acknowledges a long answer.
  table.touch(kStart, shard, FlowHash{3}, PacketPhase::kClosing);
  table.touch(kStart + seconds(50), shard, FlowHash{3}, PacketPhase::kContinuing);
  sweep(table, kStart + seconds(11));
  CHECK_EQUAL(1U, observer.removed.size());
  CHECK(observer.removed.at(1) == RemovalCause::kClosed);
  sweep(table, kStart + seconds(61));
  CHECK_EQUAL(2U, observer.removed.size());
  CHECK(observer.removed.at(2) == RemovalCause::kClosed);
  sweep(table, kStart + seconds(kIdleTimeout));
  CHECK(observer.removed.at(4) == RemovalCause::kIdle);
  CHECK_EQUAL(0U, table.flowCount(shard));
  CHECK_EQUAL(0U, table.stats().slotBytes);
}

TEST(FlowTable, RetransmittedSynDoesNotChangeAnEstablishedFlow) {
  FlowTable table(options);
  const uint32_t shard = table.addShard(kIdleTimeout);
  table.insert(kStart, newFlow(shard, 1, PacketPhase::kOpening, 1));
  CHECK(table.touch(kStart, shard, FlowHash{1}, PacketPhase::kContinuing)->state ==
        FlowState::kEstablished);
  CHECK(table.touch(kStart, shard, FlowHash{1}, PacketPhase::kOpening)->state ==
        FlowState::kEstablished);
  table.touch(kStart, shard, FlowHash{1}, PacketPhase::kReset);
  // A packet that was reordered behind the RST changes nothing; a much later one shows that the RST
  // was forged.
  CHECK(table.touch(kStart + seconds(1), shard, FlowHash{1}, PacketPhase::kContinuing)->state ==
        FlowState::kReset);
  CHECK(table.touch(kStart + seconds(5), shard, FlowHash{1}, PacketPhase::kContinuing)->state ==
        FlowState::kEstablished);
}

TEST(FlowTable, RemovingAShardDoesNotAffectOthers) {
  FlowTable table(options);
  const uint32_t first = table.addShard(kIdleTimeout);
  const uint32_t second = table.addShard(kIdleTimeout);
  table.insert(kStart, newFlow(first, 1, PacketPhase::kOpening, 1));
  table.insert(kStart, newFlow(second, 1, PacketPhase::kContinuing, 1));
  table.removeShard(first);
  CHECK_EQUAL(1U, table.stats().flows);
  CHECK(table.find(kStart, second, FlowHash{1}).has_value());
  CHECK_EQUAL(first, table.addShard(kIdleTimeout));
  CHECK_EQUAL(0U, table.flowCount(first));
}

// rapidcheck keeps statics for the rest of the process, which the leak detector reports as leaks.
TEST_GROUP(FlowTableProperty){void setup()
                                  override{MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
}
}
;

TEST(FlowTableProperty, MatchesAMapOverRandomCalls) {
  CHECK(rc::check([] {
    FlowTableOptions seeded;
    seeded.seed = *rc::gen::arbitrary<uint64_t>();
    FlowTable table(seeded);
    const uint32_t shard = table.addShard(kIdleTimeout);
    std::map<uint64_t, uint16_t> model;
    const auto steps = *rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
        rc::gen::pair(rc::gen::inRange<uint8_t>(0, 4), rc::gen::inRange<uint16_t>(0, 600)));
    for (int round = 0; round < 20; ++round) {
      for (const auto& [action, number] : steps) {
        const uint64_t flow = uint64_t{number} * 31 + static_cast<uint64_t>(round) * 7;
        const auto host = static_cast<uint16_t>(number % 9);
        if (action == 0) {
          RC_ASSERT(table.erase(shard, FlowHash{flow}) == (model.erase(flow) == 1));
        } else if (action == 1) {
          const auto entry = table.find(kStart, shard, FlowHash{flow});
          RC_ASSERT(entry.has_value() == (model.count(flow) == 1));
          if (entry) {
            RC_ASSERT(entry->hostSlot == model.at(flow));
          }
        } else {
          NewFlow added{shard, FlowHash{flow}, host, false, PacketPhase::kContinuing, 1};
          RC_ASSERT(isOk(table.insert(kStart, added)));
          model[flow] = host;
        }
      }
      table.tick(kStart);
    }
    std::map<uint16_t, uint32_t> perHost;
    std::map<uint64_t, uint16_t> listed;
    table.forEach(kStart, shard, [&](const FlowEntry& entry) {
      listed[entry.flow.value] = entry.hostSlot;
      ++perHost[entry.hostSlot];
    });
    RC_ASSERT(listed == model);
    for (const auto& [host, flows] : perHost) {
      RC_ASSERT(table.hostCounts(shard, host).open == flows);
    }
  }));
}
