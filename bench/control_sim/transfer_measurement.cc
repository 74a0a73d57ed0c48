#include "bench/control_sim/transfer_measurement.h"

#include <malloc.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "bench/control_sim/byte_account.h"
#include "test/common/spread/spread_region.h"

namespace umberhold {
namespace {

constexpr Duration kCatchUpTimeout = std::chrono::seconds(300);

std::vector<ConfigRecord> makeRecords(uint32_t count, size_t bytes) {
  std::vector<ConfigRecord> records;
  for (uint32_t index = 1; index <= count; ++index) {
    records.push_back(SpreadRegion::recordOf("service-" + std::to_string(index), index, bytes));
  }
  return records;
}

/** @return the heap size of a store with these records. */
size_t heapBytesOfStore(const std::vector<ConfigRecord>& records) {
  const size_t bytesBefore = mallinfo2().uordblks;
  RecordStore store;
  for (const ConfigRecord& record : records) {
    store.apply(record);
  }
  return mallinfo2().uordblks - bytesBefore;
}

}  // namespace

TransferReport measureTransfer(uint32_t peers, uint32_t records, size_t recordBytes, double loss) {
  const std::vector<ConfigRecord> allRecords = makeRecords(records, recordBytes);
  TransferReport report;
  report.storeBytes = heapBytesOfStore(allRecords);
  SpreadRegion region(11);
  for (uint32_t id = 1; id <= peers; ++id) {
    ConfigSpread& spread = region.start(id).spread;
    spread.publish(region.network.now(), allRecords);
    spread.setStoreListed();
  }
  region.run(std::chrono::seconds(5));
  const NodeId startingId{peers + 1};
  std::map<NodeId, uint64_t> sent;
  region.network.onSend = [&](NodeId from, NodeId to, const Message& message) {
    const uint64_t bytes = datagramBytes(message);
    sent[from] += bytes;
    report.receivedBytes += to == startingId ? bytes : 0;
  };
  region.network.faults.loss = loss;
  const TimePoint startedAt = region.network.now();
  const ControlNode& node = region.start(startingId.value);
  while (!node.spread.caughtUp() && region.network.now() - startedAt < kCatchUpTimeout) {
    region.run(SpreadRegion::kTick);
  }
  report.caughtUpSeconds = std::chrono::duration<double>(region.network.now() - startedAt).count();
  for (const auto& [id, bytes] : sent) {
    uint64_t& maxBytes = id == startingId ? report.sentBytes : report.maxPeerSentBytes;
    maxBytes = std::max(maxBytes, bytes);
  }
  return report;
}

namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
/** Time after its start during which a node counts as starting. */
constexpr Duration kStartTime = std::chrono::seconds(30);
/** Time within which all returning nodes start. */
constexpr Duration kStartSpan = std::chrono::seconds(5);

/** Measures the rate at which each node sends, in windows of 10 s. */
class SentWindows {
 public:
  explicit SentWindows(uint32_t running) : running_(running) {}

  void add(NodeId node, uint64_t bytes) { sent_[node] += bytes; }

  void close(TimePoint now, const std::map<uint32_t, TimePoint>& startedAt, RestartReport& report) {
    for (const auto& [node, bytes] : std::exchange(sent_, {})) {
      const double rate =
          static_cast<double>(bytes) / std::chrono::duration<double>(kWindow).count();
      if (node.value <= running_) {
        report.maxRunningRate = std::max(report.maxRunningRate, rate);
      } else if (now - kWindow - startedAt.at(node.value) >= kStartTime) {
        report.maxReturningRate = std::max(report.maxReturningRate, rate);
      } else {
        report.maxStartingRate = std::max(report.maxStartingRate, rate);
        startingRateSum_ += rate;
        ++startingWindows_;
        report.meanStartingRate = startingRateSum_ / startingWindows_;
      }
    }
  }

 private:
  /** Number of nodes that were running before; their ids are 1 to this. */
  uint32_t running_;
  /** Bytes in the current window, by node. */
  std::map<NodeId, uint64_t> sent_;
  /** Sum of the rates in bytes per second, and number, of the windows of starting nodes. */
  double startingRateSum_ = 0;
  double startingWindows_ = 0;
};

/** Runs a simultaneous restart step by step. */
class SimultaneousRestart {
 public:
  SimultaneousRestart(uint32_t running, uint32_t returning)
      : running_(running), returning_(returning) {}

  RestartReport run(const std::vector<ConfigRecord>& allRecords) {
    for (uint32_t id = 1; id <= running_; ++id) {
      ConfigSpread& spread = region_.start(id).spread;
      spread.publish(region_.network.now(), allRecords);
      spread.setStoreListed();
    }
    region_.run(std::chrono::seconds(5));
    region_.network.onSend = [this](NodeId from, NodeId /*to*/, const Message& message) {
      windows_.add(from, datagramBytes(message));
    };
    const TimePoint firstStart = region_.network.now();
    windowEnd_ = firstStart + kWindow;
    while (caughtUp_.size() < returning_ && region_.network.now() - firstStart < kCatchUpTimeout) {
      startDue(firstStart);
      region_.run(SpreadRegion::kTick);
      recordProgress(firstStart);
    }
    report_.late = returning_ - static_cast<uint32_t>(caughtUp_.size());
    return report_;
  }

 private:
  void startDue(TimePoint firstStart) {
    const double elapsedFraction =
        std::chrono::duration<double>(region_.network.now() - firstStart).count() /
        std::chrono::duration<double>(kStartSpan).count();
    const auto due =
        std::min<size_t>(returning_, static_cast<size_t>(elapsedFraction * returning_) + 1);
    while (startedAt_.size() < due) {
      const auto id = static_cast<uint32_t>(running_ + startedAt_.size() + 1);
      region_.start(id);
      startedAt_[id] = region_.network.now();
    }
  }

  void recordProgress(TimePoint firstStart) {
    const TimePoint now = region_.network.now();
    for (const auto& [id, time] : startedAt_) {
      if (!caughtUp_.contains(id) && region_.control(id).spread.caughtUp()) {
        caughtUp_.insert(id);
        report_.allSeconds = std::chrono::duration<double>(now - firstStart).count();
        if (caughtUp_.size() <= returning_ / 2) {
          report_.halfSeconds = report_.allSeconds;
        }
      }
    }
    if (now >= windowEnd_) {
      windowEnd_ += kWindow;
      windows_.close(now, startedAt_, report_);
    }
  }

  SpreadRegion region_{11};
  uint32_t running_;
  uint32_t returning_;
  SentWindows windows_{running_};
  std::map<uint32_t, TimePoint> startedAt_;
  std::set<uint32_t> caughtUp_;
  TimePoint windowEnd_;
  RestartReport report_;
};

}  // namespace

RestartReport measureSimultaneousRestart(uint32_t running, uint32_t returning, uint32_t records,
                                         size_t recordBytes) {
  return SimultaneousRestart(running, returning).run(makeRecords(records, recordBytes));
}

}  // namespace umberhold
