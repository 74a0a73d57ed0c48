/** @file Tests of the evaluation of runs, logs and resource usage, and of the fault plan. */
#include <set>
#include <sstream>
#include <string_view>

#include "test/soak/world/disturbance_tracker.h"
#include "test/soak/world/fault_plan.h"
#include "test/soak/world/node_evidence.h"
#include "test/soak/world/promises.h"
#include "test/soak/world/sabotage.h"
#include "test/support/without_leak_detection.h"

namespace umberhold::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
const std::string kLine = "ts=2026-01-01T00:00:00Z level=info event=started node=a\n";

}  // namespace

TEST_GROUP_BASE(Evidence, test::WithoutLeakDetection){};

TEST(Evidence, DetectsRepeatedRunOfUnrepeatableRequestOverAllHosts) {
  ViolationRecord promises(kNow);
  RunTracker runs(promises);
  runs.onRun(kNow, 7, false, true, "i-1");
  runs.onRun(kNow, 8, true, true, "i-1");
  runs.onRun(kNow, 8, true, true, "i-2");
  LONGS_EQUAL(0, promises.total());
  runs.onRun(kNow, 7, false, true, "i-2");
  LONGS_EQUAL(1, promises.count(Promise::kUnsafeOnce));
  runs.onRun(kNow, 9, true, false, "i-2");
  LONGS_EQUAL(1, promises.count(Promise::kRightService));
  LONGS_EQUAL(3 + 2, runs.runs());
}

TEST(Evidence, RejectedRequestMayRunNeitherBeforeNorAfter) {
  ViolationRecord promises(kNow);
  RunTracker runs(promises);
  runs.onRun(kNow, 7, true, true, "i-1");
  runs.onNotRun(kNow, 8);
  LONGS_EQUAL(0, promises.total());
  runs.onNotRun(kNow, 7);
  LONGS_EQUAL(1, promises.count(Promise::kRefusedNotRun));
  runs.onRun(kNow, 8, true, true, "i-1");
  LONGS_EQUAL(2, promises.count(Promise::kRefusedNotRun));
}

TEST(Evidence, DetectsReaderOfAZoneFromItsLog) {
  const std::string reads =
      "ts=2026-01-01T00:00:00Z level=info event=read_source reads_store=1 cause=reader\n";
  std::istringstream never(kLine);
  CHECK_FALSE(isReaderOfZone(never));
  std::istringstream now(kLine + reads);
  CHECK_TRUE(isReaderOfZone(now));
  std::istringstream before(kLine + reads + kLine);
  CHECK_FALSE(isReaderOfZone(before));
}

TEST(Evidence, KeepsOnlyTheFirstViolationsOfEachPromise) {
  ViolationRecord promises(kNow);
  for (int count = 0; count < 100; ++count) {
    promises.recordViolation(kNow, Promise::kRecovery, "x");
  }
  LONGS_EQUAL(100, promises.count(Promise::kRecovery));
  CHECK_TRUE(promises.firstViolations().size() < 10);
}

TEST(Evidence, SummarizesLogLines) {
  std::istringstream log(kLine + "half a li\n" + kLine);
  const LogSummary summary = summarizeLog(log);
  LONGS_EQUAL(3, summary.lines);
  LONGS_EQUAL(1, summary.unreadable);
  LONGS_EQUAL(2, summary.starts);
  STRCMP_EQUAL("half a li", summary.firstUnreadable.c_str());
}

TEST(Evidence, LogMustBeReadableAndBounded) {
  const NodeLimits limits;
  CHECK_TRUE(isReadable(limits, {100, 1, 2, ""}, 2, 10));
  CHECK_FALSE(isReadable(limits, {100, 3, 2, ""}, 2, 10));
  CHECK_FALSE(isReadable(limits, {100, 0, 0, ""}, 2, 10));
  CHECK_FALSE(isReadable(limits, {100000, 0, 1, ""}, 1, 10));
}

TEST(Evidence, NodeMustBeMeasuredAndWithinLimits) {
  const NodeLimits limits;
  CHECK_TRUE(isWithin(limits, {10, 20, 1}));
  CHECK_FALSE(isWithin(limits, {0, 20, 1}));
  CHECK_FALSE(isWithin(limits, {10, 0, 1}));
  CHECK_FALSE(isWithin(limits, {limits.memoryMegabytes + 1, 20, 1}));
  CHECK_FALSE(isWithin(limits, {10, limits.descriptors + 1, 1}));
}

TEST(Evidence, DisturbanceLastsUntilTheSettleTimeAfterItsEnd) {
  DisturbanceTracker disturbances{seconds(4)};
  CHECK_TRUE(disturbances.isSettled("node", kNow));
  disturbances.begin("node", kNow);
  disturbances.begin("node", kNow);
  disturbances.end("node", kNow + seconds(1));
  CHECK_FALSE(disturbances.isSettled("node", kNow + seconds(60)));
  disturbances.end("node", kNow + seconds(61));
  CHECK_FALSE(disturbances.isSettled("node", kNow + seconds(65)));
  CHECK_TRUE(disturbances.isSettled("node", kNow + seconds(66)));
  CHECK_TRUE(disturbances.isSettled("other", kNow + seconds(60)));
}

TEST(Evidence, FaultsDependOnTheSeedAlone) {
  const auto first = drawFaults(5, seconds(40));
  const auto again = drawFaults(5, seconds(40));
  const auto other = drawFaults(6, seconds(40));
  CHECK_TRUE(first.size() > 8);
  LONGS_EQUAL(first.size(), again.size());
  bool same = first.size() == other.size();
  for (size_t index = 0; index < first.size(); ++index) {
    CHECK_TRUE(first[index].kind == again[index].kind && first[index].at == again[index].at);
    CHECK_TRUE(first[index].at < seconds(40));
    same = same && first[index].kind == other[index].kind;
  }
  CHECK_FALSE(same);
}

TEST(Evidence, SabotageNamesAreUnique) {
  for (uint8_t index = 0; index < static_cast<uint8_t>(Sabotage::kCount); ++index) {
    const auto kind = static_cast<Sabotage>(index);
    CHECK_TRUE(sabotageNamed(toString(kind)) == kind);
  }
  CHECK_FALSE(sabotageNamed("x").has_value());
}

TEST(Evidence, HardLoadKeepsUsualFaultsAndEndsWithAShortage) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    for (const Fault& fault : drawFaults(seed, seconds(60))) {
      CHECK_TRUE(fault.kind < FaultKind::kUsualCount);
    }
    const std::vector<Fault> hard = drawHardLoad(seed, seconds(60));
    TimePoint::duration capacityRestoredAt{0};
    for (const Fault& fault : hard) {
      CHECK_TRUE(fault.kind >= FaultKind::kUsualCount && fault.at >= capacityRestoredAt);
      if (fault.kind != FaultKind::kRestartHost) {
        capacityRestoredAt = fault.at + fault.duration;
      }
    }
    CHECK_TRUE(hard.back().kind == FaultKind::kShortRoom && hard.back().at >= seconds(60));
  }
}

TEST(Evidence, OverloadedLinksAreDrawnWithinTheirBoundsAndOneAfterAnother) {
  bool someWithTwoNodes = false;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    TimePoint::duration relievedAt{0};
    for (const Fault& fault : drawOverloadedLinks(seed, seconds(60))) {
      CHECK_TRUE(fault.kind == FaultKind::kOverloadedLink);
      CHECK_TRUE(fault.at >= relievedAt && fault.at < seconds(60));
      CHECK_TRUE(fault.duration >= milliseconds(400) && fault.duration <= milliseconds(2500));
      CHECK_TRUE(fault.lossShare >= 0.4 && fault.lossShare <= 0.95);
      CHECK_TRUE(fault.nodeCount == 1 || fault.nodeCount == 2);
      someWithTwoNodes = someWithTwoNodes || fault.nodeCount == 2;
      relievedAt = fault.at + fault.duration;
    }
    CHECK_TRUE(relievedAt > seconds(0));
  }
  CHECK_TRUE(someWithTwoNodes);
}

TEST(Evidence, ForeignEntriesAreDrawnWithinTheLength) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const std::vector<Fault> faults = drawForeignEntries(seed, seconds(60));
    CHECK_FALSE(faults.empty());
    for (const Fault& fault : faults) {
      CHECK_TRUE(fault.kind == FaultKind::kForeignEntry && fault.at < seconds(60));
    }
  }
}

TEST(Evidence, FaultNamesAreKnownAndUnique) {
  std::set<std::string_view> names;
  for (uint8_t index = 0; index < static_cast<uint8_t>(FaultKind::kCount); ++index) {
    names.insert(toString(static_cast<FaultKind>(index)));
  }
  LONGS_EQUAL(static_cast<uint8_t>(FaultKind::kCount), names.size());
  CHECK_FALSE(names.contains("unknown"));
}

}  // namespace umberhold::soak
